package gossip

import (
	"crypto/aes"
	"crypto/cipher"
	"crypto/hkdf"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/godwithub/godwithub/fleet"
	"github.com/godwithub/godwithub/keys"
)

// A datagram consists of the format (1 byte), the salt of the sending process (12 bytes), a counter
// (8 bytes) and the sealed message. The counter is the nonce, under a key derived from the fleet's
// key and the salt, so a nonce is never reused, however many datagrams the fleet sends. The
// receiver's ID is authenticated as well, so that a datagram can't be redirected to another node.
const (
	datagramFormat = 1
	saltSize       = 12
	headerSize     = 1 + saltSize + 8
	tagSize        = 16
	sealOverhead   = headerSize + tagSize
)

var (
	errCorrupt  = errors.New("gossip: datagram is not sealed with the fleet's key for this node")
	errReplayed = errors.New("gossip: datagram is a replay, or is too old to tell")
)

type salt [saltSize]byte

// sealer seals the datagrams of this process. It is safe for concurrent use.
type sealer struct {
	salt    salt
	aead    cipher.AEAD
	counter atomic.Uint64
}

func newSealer(key [keys.GossipKeySize]byte) (*sealer, error) {
	s := &sealer{}
	rand.Read(s.salt[:])
	var err error
	s.aead, err = newAEAD(key, s.salt)
	return s, err
}

func newAEAD(key [keys.GossipKeySize]byte, s salt) (cipher.AEAD, error) {
	derived, err := hkdf.Key(sha256.New, key[:], s[:], "godwithub gossip", keys.GossipKeySize)
	if err != nil {
		return nil, fmt.Errorf("gossip: derive datagram key: %w", err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, fmt.Errorf("gossip: create AES cipher: %w", err)
	}
	return cipher.NewGCM(block)
}

func (s *sealer) seal(to fleet.NodeID, payload []byte) []byte {
	out := make([]byte, 0, sealOverhead+len(payload))
	out = append(out, datagramFormat)
	out = append(out, s.salt[:]...)
	out = binary.BigEndian.AppendUint64(out, s.counter.Add(1))
	return s.aead.Seal(out, nonce(out), payload, additionalData(out, to))
}

func nonce(header []byte) []byte {
	var n [12]byte
	copy(n[4:], header[1+saltSize:headerSize])
	return n[:]
}

func additionalData(header []byte, to fleet.NodeID) []byte {
	a := make([]byte, 0, headerSize+len(to))
	return append(append(a, header[:headerSize]...), to...)
}

// maxSessions is the maximum number of sessions in each of an opener's two generations. A session
// takes about 1.5 KB, so both take up to 6 MB.
const maxSessions = 2048

// opener opens the datagrams sent to one node and refuses replays. It must be used by one goroutine
// only.
//
// A datagram can be replayed once if its session was forgotten or if it was first received before
// the opener was created. That does no harm: statuses with a lower incarnation and record parts
// with a lower number are ignored.
type opener struct {
	key  [keys.GossipKeySize]byte
	self fleet.NodeID
	// When recent is full, it replaces older. Sessions in older that were not used since the last
	// replacement are forgotten.
	recent, older map[salt]*session
}

// session is the state kept for one sending process.
type session struct {
	aead   cipher.AEAD
	window window
}

func newOpener(key [keys.GossipKeySize]byte, self fleet.NodeID) *opener {
	return &opener{key: key, self: self, recent: map[salt]*session{}, older: map[salt]*session{}}
}

func (o *opener) open(datagram []byte) ([]byte, error) {
	if len(datagram) < sealOverhead || len(datagram) > MaxDatagram || datagram[0] != datagramFormat {
		return nil, errCorrupt
	}
	header := datagram[:headerSize]
	s, err := o.session(salt(header[1 : 1+saltSize]))
	if err != nil {
		return nil, err
	}
	payload, err := s.aead.Open(nil, nonce(header), datagram[headerSize:], additionalData(header, o.self))
	if err != nil {
		return nil, errCorrupt
	}
	o.remember(salt(header[1:1+saltSize]), s)
	if !s.window.accept(binary.BigEndian.Uint64(header[1+saltSize:])) {
		return nil, errReplayed
	}
	return payload, nil
}

// session returns the session with the given salt, or a new one. The caller stores a new session
// with remember only after one of its datagrams was opened, so that garbage takes no memory.
func (o *opener) session(k salt) (*session, error) {
	if s := o.recent[k]; s != nil {
		return s, nil
	}
	if s := o.older[k]; s != nil {
		return s, nil
	}
	aead, err := newAEAD(o.key, k)
	return &session{aead: aead}, err
}

func (o *opener) remember(k salt, s *session) {
	if o.recent[k] != nil {
		return
	}
	if len(o.recent) >= maxSessions {
		o.recent, o.older = map[salt]*session{}, o.recent
	}
	o.recent[k] = s
}

// windowSize is how far a datagram may lag behind the newest one received from its process, counted
// in datagrams that the process sent to any node.
const windowSize = 1024

// window records which counters of a process have been received. Older counters than those in the
// window are refused.
type window struct {
	highest uint64
	seen    [windowSize / 64]uint64 // bit n%windowSize is set if counter n was received
}

// accept reports whether counter n is new, and records it.
func (w *window) accept(n uint64) bool {
	if n == 0 || n+windowSize <= w.highest {
		return false
	}
	if n > w.highest {
		w.advance(n)
	}
	word, bit := n%windowSize/64, uint64(1)<<(n%64)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

// advance moves the window up to n and clears the bits of the counters that enter it.
func (w *window) advance(n uint64) {
	if n-w.highest >= windowSize {
		w.seen = [windowSize / 64]uint64{}
	} else {
		for i := w.highest + 1; i <= n; i++ {
			w.seen[i%windowSize/64] &^= 1 << (i % 64)
		}
	}
	w.highest = n
}
