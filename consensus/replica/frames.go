package replica

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/link"
)

// A frame's payload starts with a byte of flags. Without flagFragment, whole messages follow, one
// after the other. With flagFragment, the id and the total length of one message follow, and then a
// fragment of it. With flagWantsAck, the receiver answers with an empty frame.
const (
	flagFragment = 1 << 0
	flagWantsAck = 1 << 1

	fragmentHeaderSize = 1 + 8 + 4
	maxFragmentSize    = link.MaxPayload - fragmentHeaderSize

	// maxMessageSize bounds the size of a message that is sent in fragments, in bytes.
	maxMessageSize = 256 << 20
	// maxPartialMessages bounds the number of incomplete messages per stream.
	maxPartialMessages = 64
)

var errMalformedFrame = errors.New("replica: malformed frame")

// fragmentedMessage is a large message that is being sent in fragments.
type fragmentedMessage struct {
	id   uint64
	body []byte
	sent int
}

// appendFragment appends the frame payload of the next fragment to b.
func (m *fragmentedMessage) appendFragment(b []byte) []byte {
	n := min(maxFragmentSize, len(m.body)-m.sent)
	b = append(b, flagFragment)
	b = binary.BigEndian.AppendUint64(b, m.id)
	b = binary.BigEndian.AppendUint32(b, uint32(len(m.body)))
	b = append(b, m.body[m.sent:m.sent+n]...)
	m.sent += n
	return b
}

func (m *fragmentedMessage) done() bool { return m.sent == len(m.body) }

// reassembler decodes the frames of one stream and reassembles fragmented messages.
type reassembler struct {
	partial map[uint64]*partialMessage
}

type partialMessage struct {
	total int
	body  []byte
}

// addFrame decodes a frame's payload and returns the messages that it completes.
func (r *reassembler) addFrame(payload []byte) (messages []consensus.Message, wantsAck bool, err error) {
	if len(payload) == 0 {
		return nil, false, fmt.Errorf("%w: empty payload", errMalformedFrame)
	}
	flags := payload[0]
	wantsAck = flags&flagWantsAck != 0
	body := payload[1:]
	if flags&flagFragment != 0 {
		if body, err = r.addFragment(payload); err != nil || body == nil {
			return nil, wantsAck, err
		}
	}
	messages, err = decodeMessages(body)
	return messages, wantsAck, err
}

// addFragment adds a fragment and returns the body of its message once it is complete, or nil.
func (r *reassembler) addFragment(payload []byte) ([]byte, error) {
	if len(payload) < fragmentHeaderSize {
		return nil, fmt.Errorf("%w: fragment of %d bytes is shorter than its header", errMalformedFrame, len(payload))
	}
	id := binary.BigEndian.Uint64(payload[1:])
	total := int(binary.BigEndian.Uint32(payload[9:]))
	if r.partial == nil {
		r.partial = map[uint64]*partialMessage{}
	}
	message := r.partial[id]
	if message == nil {
		if total > maxMessageSize || len(r.partial) >= maxPartialMessages {
			return nil, fmt.Errorf("%w: fragmented message of %d bytes while %d others are incomplete", errMalformedFrame, total, len(r.partial))
		}
		message = &partialMessage{total: total}
		r.partial[id] = message
	}
	message.body = append(message.body, payload[fragmentHeaderSize:]...)
	if total != message.total || len(message.body) > total {
		return nil, fmt.Errorf("%w: the fragments do not fit the length of their message", errMalformedFrame)
	}
	if len(message.body) < total {
		return nil, nil
	}
	delete(r.partial, id)
	return message.body, nil
}
