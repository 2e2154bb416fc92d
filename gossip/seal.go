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

// A datagram is: format (1 byte), salt of the sender's process (12 bytes),
// counter (8 bytes), sealed message. The counter is the nonce under a key
// derived from the fleet's key and the salt, so no nonce is used twice however
// many datagrams the fleet sends. The receiver's id is authenticated as well: a
// datagram can't be redirected to another node.
const (
	datagramFormat = 1
	saltSize       = 12
	headerSize     = 1 + saltSize + 8
	tagSize        = 16
	sealOverhead   = headerSize + tagSize
)

var (
	errCorrupt  = errors.New("gossip: datagram is not sealed by the fleet's key for this node")
	errReplayed = errors.New("gossip: datagram came before")
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
		return nil, fmt.Errorf("gossip: derive key: %w", err)
	}
	block, err := aes.NewCipher(derived)
	if err != nil {
		return nil, fmt.Errorf("gossip: cipher: %w", err)
	}
	return cipher.NewGCM(block)
}

func (s *sealer) seal(to fleet.NodeID, payload []byte) []byte {
	out := make([]byte, 0, sealOverhead+len(payload))
	out = append(out, datagramFormat)
	out = append(out, s.salt[:]...)
	out = binary.BigEndian.AppendUint64(out, s.counter.Add(1))
	return s.aead.Seal(out, nonce(out), payload, additional(out, to))
}

func nonce(header []byte) []byte {
	var n [12]byte
	copy(n[4:], header[1+saltSize:headerSize])
	return n[:]
}

func additional(header []byte, to fleet.NodeID) []byte {
	a := make([]byte, 0, headerSize+len(to))
	return append(append(a, header[:headerSize]...), to...)
}

// maxSessions bounds the sending processes that an opener remembers, twice. At
// about 1.5 KB each they take up to 6 MB.
const maxSessions = 2048

// opener opens the datagrams sent to one node and refuses those that came
// before. It is for one goroutine.
//
// A datagram of a process that was forgotten, or that came before the opener
// began, opens once more. It can't undo anything: states of lower incarnation
// and parts of lower number are ignored.
type opener struct {
	key  [keys.GossipKeySize]byte
	self fleet.NodeID
	// When recent is full it becomes older, and what was in older and not used
	// meanwhile is forgotten.
	recent, older map[salt]*session
}

// session is one sending process.
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
	payload, err := s.aead.Open(nil, nonce(header), datagram[headerSize:], additional(header, o.self))
	if err != nil {
		return nil, errCorrupt
	}
	o.keep(salt(header[1:1+saltSize]), s)
	if !s.window.accept(binary.BigEndian.Uint64(header[1+saltSize:])) {
		return nil, errReplayed
	}
	return payload, nil
}

// session returns the session of a process. A new one is kept only once a
// datagram of it has opened, so that garbage takes no memory.
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

func (o *opener) keep(k salt, s *session) {
	if o.recent[k] != nil {
		return
	}
	if len(o.recent) >= maxSessions {
		o.recent, o.older = map[salt]*session{}, o.recent
	}
	o.recent[k] = s
}

// windowSize is how far a datagram may fall behind the newest one of its
// process, counted in all datagrams that the process sent to anyone.
const windowSize = 1024

// window remembers which counters of a process were seen.
type window struct {
	highest uint64
	seen    [windowSize / 64]uint64 // bit n%windowSize stands for counter n
}

// accept reports whether counter n is new, and notes it.
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

// advance moves the window up to n and clears the counters that it takes in.
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
