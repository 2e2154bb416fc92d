package replica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
)

// A frame's payload starts with flags. Without flagPart, whole messages follow,
// one after the other. With flagPart, a part of one message follows its number
// and its total length.
const (
	flagPart     = 1 << 0
	flagWantsAck = 1 << 1

	partHeader = 1 + 8 + 4
	maxPart    = link.MaxPayload - partHeader

	// maxMessage is the largest message that is put together from parts, in bytes.
	maxMessage = 256 << 20
	// maxPartial is how many messages may be in parts at once.
	maxPartial = 64
)

var errBadFrame = errors.New("replica: malformed frame")

// outgoing is a large message of which parts are still to be sent.
type outgoing struct {
	number uint64
	body   []byte
	sent   int
}

// part appends the next part's payload to b.
func (o *outgoing) part(b []byte) []byte {
	n := min(maxPart, len(o.body)-o.sent)
	b = append(b, flagPart)
	b = binary.BigEndian.AppendUint64(b, o.number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(o.body)))
	b = append(b, o.body[o.sent:o.sent+n]...)
	o.sent += n
	return b
}

func (o *outgoing) done() bool { return o.sent == len(o.body) }

// assembler puts messages of one stream together.
type assembler struct {
	partial map[uint64]*incoming
}

type incoming struct {
	total int
	body  []byte
}

// add takes a frame's payload and returns the messages that it completes.
func (a *assembler) add(payload []byte) (messages []consensus.Message, wantsAck bool, err error) {
	if len(payload) == 0 {
		return nil, false, fmt.Errorf("%w: empty", errBadFrame)
	}
	flags := payload[0]
	wantsAck = flags&flagWantsAck != 0
	body := payload[1:]
	if flags&flagPart != 0 {
		if body, err = a.addPart(payload); err != nil || body == nil {
			return nil, wantsAck, err
		}
	}
	messages, err = decodeMessages(body)
	return messages, wantsAck, err
}

// addPart returns the whole body once its last part is there.
func (a *assembler) addPart(payload []byte) ([]byte, error) {
	if len(payload) < partHeader {
		return nil, fmt.Errorf("%w: part of %d bytes", errBadFrame, len(payload))
	}
	number := binary.BigEndian.Uint64(payload[1:])
	total := int(binary.BigEndian.Uint32(payload[9:]))
	if a.partial == nil {
		a.partial = map[uint64]*incoming{}
	}
	in := a.partial[number]
	if in == nil {
		if total > maxMessage || len(a.partial) >= maxPartial {
			return nil, fmt.Errorf("%w: message of %d bytes beside %d others", errBadFrame, total, len(a.partial))
		}
		in = &incoming{total: total}
		a.partial[number] = in
	}
	in.body = append(in.body, payload[partHeader:]...)
	if total != in.total || len(in.body) > total {
		return nil, fmt.Errorf("%w: parts exceed their message", errBadFrame)
	}
	if len(in.body) < total {
		return nil, nil
	}
	delete(a.partial, number)
	return in.body, nil
}
