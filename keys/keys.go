// Package keys creates and loads the fleet's keys: a certificate authority, a certificate for each
// process, and the key that encrypts and authenticates membership datagrams.
//
// A key directory contains ca.crt, ca.key (only where certificates are issued), node.crt and node.key
// in PEM format, and gossip.key as 64 hexadecimal digits.
package keys

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
)

// Files in a key directory.
const (
	authorityCert = "ca.crt"
	authorityKey  = "ca.key"
	processCert   = "node.crt"
	processKey    = "node.key"
	gossipKeyFile = "gossip.key"
)

const (
	authorityLifetime = 10 * 365 * 24 * time.Hour
	// clockSkew is how far certificates are backdated, so that VMs whose clocks are behind accept new
	// ones.
	clockSkew = time.Hour
	// GossipKeySize is the size of the gossip key, in bytes (AES-256).
	GossipKeySize = 32
)

// Role is the role that a certificate permits its process to take.
type Role string

// Roles of processes. A role is a DNS name in the certificate, and the server name that a dialer
// expects.
const (
	RoleNode    Role = "node.godwithub"
	RoleControl Role = "control.godwithub"
)

// dnsNames returns the DNS names in the certificate of a process in the role. Control VMs take part in
// membership, so they are also dialed as nodes.
func (r Role) dnsNames() []string {
	if r == RoleControl {
		return []string{string(RoleControl), string(RoleNode)}
	}
	return []string{string(r)}
}

// Init creates a certificate authority and a gossip key in dir. It fails if dir already contains an
// authority.
func Init(dir string) error {
	if _, err := os.Stat(filepath.Join(dir, authorityKey)); err == nil {
		return fmt.Errorf("keys: %s already contains a certificate authority", dir)
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "godwithub fleet authority"},
		NotBefore:             time.Now().Add(-clockSkew),
		NotAfter:              time.Now().Add(authorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		MaxPathLenZero:        true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	gossip := make([]byte, GossipKeySize)
	rand.Read(gossip)
	return errors.Join(
		writePair(dir, authorityCert, authorityKey, cert, key),
		writeFile(dir, gossipKeyFile, []byte(hex.EncodeToString(gossip)+"\n"), 0o600),
	)
}

// Issue creates a certificate for the process called name and writes all keys that the process needs
// to out. dir contains the authority.
func Issue(dir, out, name string, role Role, lifetime time.Duration) error {
	ca, caKey, err := loadAuthority(dir)
	if err != nil {
		return err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     role.dnsNames(),
		NotBefore:    time.Now().Add(-clockSkew),
		NotAfter:     time.Now().Add(lifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	if err := os.MkdirAll(out, 0o700); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return errors.Join(
		writePair(out, processCert, processKey, cert, key),
		copyFile(dir, out, authorityCert, 0o644),
		copyFile(dir, out, gossipKeyFile, 0o600),
	)
}

// Ring contains the keys that a process needs to communicate with the rest of the fleet.
type Ring struct {
	// Name is the common name of the process's certificate.
	Name string
	// Gossip is the key that encrypts and authenticates membership datagrams.
	Gossip [GossipKeySize]byte
	// NotAfter is when the process's certificate expires.
	NotAfter time.Time

	cert tls.Certificate
	pool *x509.CertPool
	// plain reports that there are no keys; see NewPlainRing.
	plain bool
}

// NewPlainRing returns the ring of a process on a platform that provides no keys. Its links are not
// encrypted, membership datagrams are sealed with a publicly known key, and processes are identified
// by their IP addresses. The network has to keep others out.
func NewPlainRing(ip string) *Ring { return &Ring{Name: ip, plain: true} }

// Values of the setting link-security.
const (
	SecurityKeys = "keys" // TLS with the keys of the process
	SecurityNone = "none" // see NewPlainRing
)

// RingOf returns the ring of the process called name. With SecurityNone it is NewPlainRing(name);
// otherwise it is loaded from dir, and the certificate there must be for that name.
func RingOf(security, name, dir string) (*Ring, error) {
	if security == SecurityNone {
		return NewPlainRing(name), nil
	}
	r, err := Load(dir)
	if err != nil {
		return nil, err
	}
	if r.Name != name {
		return nil, fmt.Errorf("keys: the process is called %q but the certificate is for %q", name, r.Name)
	}
	return r, nil
}

// Load loads the keys of a process from dir.
func Load(dir string) (*Ring, error) {
	cert, err := tls.LoadX509KeyPair(filepath.Join(dir, processCert), filepath.Join(dir, processKey))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	ca, err := os.ReadFile(filepath.Join(dir, authorityCert))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	r := &Ring{cert: cert, pool: x509.NewCertPool(), Name: cert.Leaf.Subject.CommonName, NotAfter: cert.Leaf.NotAfter}
	if !r.pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("keys: %s holds no certificate", filepath.Join(dir, authorityCert))
	}
	text, err := os.ReadFile(filepath.Join(dir, gossipKeyFile))
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	if n, err := hex.Decode(r.Gossip[:], trimNewline(text)); err != nil || n != GossipKeySize {
		return nil, fmt.Errorf("keys: %s is not %d hexadecimal digits", gossipKeyFile, 2*GossipKeySize)
	}
	return r, nil
}

// Server returns the TLS configuration of a link listener, which accepts any process of the fleet. It
// is nil without keys.
func (r *Ring) Server() *tls.Config {
	if r.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{r.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    r.pool,
	}
}

// Client returns the TLS configuration of a dialer that expects a peer in the given role. It is nil
// without keys.
func (r *Ring) Client(role Role) *tls.Config {
	if r.plain {
		return nil
	}
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		Certificates:       []tls.Certificate{r.cert},
		RootCAs:            r.pool,
		ServerName:         string(role),
		ClientSessionCache: tls.NewLRUClientSessionCache(sessionCacheSize),
	}
}

// sessionCacheSize is the number of TLS sessions that a dialer caches for shorter handshakes. A node
// connects to a few hundred peers.
const sessionCacheSize = 512

// API returns the TLS configuration of the resource API, whose callers authenticate by token instead
// of by certificate. It is nil without keys.
func (r *Ring) API() *tls.Config {
	if r.plain {
		return nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{r.cert}}
}

// APIClient returns the TLS configuration of a client of the resource API that trusts the authority
// whose certificate is in caFile.
func APIClient(caFile string) (*tls.Config, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("keys: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("keys: %s holds no certificate", caFile)
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool, ServerName: string(RoleControl)}, nil
}

func loadAuthority(dir string) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, authorityCert), filepath.Join(dir, authorityKey))
	if err != nil {
		return nil, nil, fmt.Errorf("keys: authority: %w", err)
	}
	key, ok := pair.PrivateKey.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("keys: authority key is a %T, not ECDSA", pair.PrivateKey)
	}
	return pair.Leaf, key, nil
}

func newSerialNumber() *big.Int {
	// 127 bits keep the number positive in its DER encoding.
	n, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		panic(err)
	}
	return n
}

func writePair(dir, certName, keyName string, cert []byte, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return errors.Join(
		writeFile(dir, certName, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o644),
		writeFile(dir, keyName, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600),
	)
}

func writeFile(dir, name string, b []byte, mode os.FileMode) error {
	if err := renameio.WriteFile(filepath.Join(dir, name), b, mode); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return nil
}

func copyFile(from, to, name string, mode os.FileMode) error {
	b, err := os.ReadFile(filepath.Join(from, name))
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	return writeFile(to, name, b, mode)
}

func trimNewline(b []byte) []byte {
	for len(b) > 0 && (b[len(b)-1] == '\n' || b[len(b)-1] == '\r') {
		b = b[:len(b)-1]
	}
	return b
}
