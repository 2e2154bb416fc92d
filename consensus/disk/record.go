package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/bbolt"
)

// checksumSize is the size in bytes of the checksum at the start of each record. bbolt itself has
// checksums only for its meta pages.
const checksumSize = 4

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// checksum covers the key as well as the body, so that a record stored under the wrong key is
// detected.
func checksum(key, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(key, castagnoli), castagnoli, body)
}

func putRecord(b *bbolt.Bucket, key []byte, value any) error {
	body, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	record := binary.BigEndian.AppendUint32(make([]byte, 0, checksumSize+len(body)), checksum(key, body))
	return b.Put(key, append(record, body...))
}

func getRecord(b *bbolt.Bucket, key []byte, value any) error {
	record := b.Get(key)
	if record == nil {
		return fmt.Errorf("%w: no record %q", ErrDamaged, key)
	}
	return decodeRecord(key, record, value)
}

func getOptional(b *bbolt.Bucket, key []byte, value any) error {
	if b.Get(key) == nil {
		return nil
	}
	return getRecord(b, key, value)
}

func decodeRecord(key, record []byte, value any) error {
	if len(record) < checksumSize {
		return fmt.Errorf("%w: record %q is %d bytes long", ErrDamaged, key, len(record))
	}
	body := record[checksumSize:]
	if binary.BigEndian.Uint32(record) != checksum(key, body) {
		return fmt.Errorf("%w: record %q does not match its checksum", ErrDamaged, key)
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return fmt.Errorf("%w: record %q: %w", ErrDamaged, key, err)
	}
	return nil
}
