package server

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/google/renameio/v2"
)

// Role is the set of operations that a token allows. Each role includes those before it.
type Role int

// Roles of tokens.
const (
	RoleReader Role = iota + 1 // read and watch
	RoleWriter                 // write resources, except groups
	RoleAdmin                  // groups, members, epochs, snapshots
)

var roleNames = map[Role]string{RoleReader: "reader", RoleWriter: "writer", RoleAdmin: "admin"}

// String returns the role in lower case.
func (r Role) String() string { return roleNames[r] }

// ParseRole returns the role called name.
func ParseRole(name string) (Role, error) {
	for r, n := range roleNames {
		if n == name {
			return r, nil
		}
	}
	return 0, fmt.Errorf("server: role %q is none of reader, writer, admin", name)
}

// Token is one entry of a token file. The file holds the SHA-256 of the secret, so that someone who can
// read the file cannot use the token.
type Token struct {
	Name string
	Role Role
	hash [sha256.Size]byte
}

const (
	// secretBytes is the size of a token's secret, in bytes.
	secretBytes = 32
	// secretPrefix lets secret scanners recognise a leaked token.
	secretPrefix = "gwh_"
	// reloadInterval is the minimum time between two checks of the token file for changes.
	reloadInterval = 2 * time.Second
	tokenFileMode  = 0o600
)

// NewToken adds a token to the file at path and returns its secret. It creates the file if there is
// none, and refuses a name that the file already has.
func NewToken(path, name string, role Role) (secret string, err error) {
	if name == "" || strings.ContainsAny(name, " \t\r\n#") {
		return "", fmt.Errorf("server: token name %q must not be empty and must not contain blanks or #", name)
	}
	content, err := os.ReadFile(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return "", fmt.Errorf("server: token file: %w", err)
	}
	tokens, err := parseTokens(content)
	if err != nil {
		return "", err
	}
	for _, t := range tokens {
		if t.Name == name {
			return "", fmt.Errorf("server: token file already has a token %q", name)
		}
	}
	random := make([]byte, secretBytes)
	rand.Read(random)
	secret = secretPrefix + base64.RawURLEncoding.EncodeToString(random)
	hash := sha256.Sum256([]byte(secret))
	if len(content) > 0 && content[len(content)-1] != '\n' {
		content = append(content, '\n')
	}
	content = fmt.Appendf(content, "%s %s %s\n", name, role, hex.EncodeToString(hash[:]))
	if err := renameio.WriteFile(path, content, tokenFileMode); err != nil {
		return "", fmt.Errorf("server: token file: %w", err)
	}
	return secret, nil
}

// parseTokens parses lines of a name, a role and a hexadecimal SHA-256. It skips empty lines and lines
// that start with #. The error lists all lines that are not valid.
func parseTokens(content []byte) ([]Token, error) {
	var tokens []Token
	var errs []error
	lines := bufio.NewScanner(bytes.NewReader(content))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		t, err := parseToken(line)
		if err != nil {
			errs = append(errs, fmt.Errorf("server: token file, line %d: %w", n, err))
			continue
		}
		tokens = append(tokens, t)
	}
	return tokens, errors.Join(append(errs, lines.Err())...)
}

func parseToken(line string) (Token, error) {
	fields := strings.Fields(line)
	if len(fields) != 3 {
		return Token{}, fmt.Errorf("has %d fields, not name, role and hash", len(fields))
	}
	role, err := ParseRole(fields[1])
	if err != nil {
		return Token{}, err
	}
	t := Token{Name: fields[0], Role: role}
	if hash, err := hex.DecodeString(fields[2]); err != nil || copy(t.hash[:], hash) != sha256.Size || len(hash) != sha256.Size {
		return Token{}, errors.New("the hash is not 64 hexadecimal digits")
	}
	return t, nil
}

// Tokens holds the tokens of a file and reloads them when the file changes.
type Tokens struct {
	path string
	log  *slog.Logger

	mu      sync.Mutex
	tokens  []Token
	modTime time.Time
	size    int64
	checked time.Time
}

// LoadTokens reads the token file at path.
func LoadTokens(path string, log *slog.Logger) (*Tokens, error) {
	t := &Tokens{path: path, log: log}
	if err := t.reload(); err != nil {
		return nil, err
	}
	return t, nil
}

func (t *Tokens) reload() error {
	info, err := os.Stat(t.path)
	if err != nil {
		return fmt.Errorf("server: token file: %w", err)
	}
	if info.ModTime().Equal(t.modTime) && info.Size() == t.size {
		return nil
	}
	content, err := os.ReadFile(t.path)
	if err != nil {
		return fmt.Errorf("server: token file: %w", err)
	}
	tokens, err := parseTokens(content)
	if err != nil {
		return err
	}
	t.tokens, t.modTime, t.size = tokens, info.ModTime(), info.Size()
	return nil
}

// Find returns the token with the given secret, after it has reloaded the file if that is due. If the
// reload fails, the tokens loaded before stay valid.
func (t *Tokens) Find(secret string, now time.Time) (Token, bool) {
	hash := sha256.Sum256([]byte(secret))
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.checked) >= reloadInterval {
		t.checked = now
		if err := t.reload(); err != nil {
			t.log.Error("reloading the token file failed; the tokens loaded before stay valid", "error", err)
		}
	}
	found, ok := Token{}, false
	for _, token := range t.tokens {
		if subtle.ConstantTimeCompare(token.hash[:], hash[:]) == 1 {
			found, ok = token, true
		}
	}
	return found, ok
}
