package httpdrain

import "time"

// A connection whose request body is not read to its end is closed in two steps: bytes that still arrive
// are discarded for a while. If it were closed at once, they would be answered by a reset, and the caller
// could lose an answer that it has not read yet.
const (
	// lingerIdle is how long a silent caller is waited for, lingerTotal how long any caller is.
	lingerIdle  = 2 * time.Second
	lingerTotal = 10 * time.Second
	// lingerBuffer is the size of the buffer for discarded bytes.
	lingerBuffer = 8 << 10
)

// CloseWrite ends the answers of the connection. The server calls it before Close if it does not read the
// rest of a request.
func (c *conn) CloseWrite() error {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok {
		return nil
	}
	c.mu.Lock()
	c.lingering = true
	c.mu.Unlock()
	err := half.CloseWrite()
	go c.linger()
	return err
}

// Close implements net.Conn. A connection whose caller may still be writing is closed later.
func (c *conn) Close() error {
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		return nil
	}
	return c.Conn.Close()
}

// linger discards what arrives, and then closes the connection.
func (c *conn) linger() {
	defer c.Conn.Close()
	buf := make([]byte, lingerBuffer)
	for end := time.Now().Add(lingerTotal); time.Now().Before(end); {
		c.Conn.SetReadDeadline(time.Now().Add(lingerIdle))
		if _, err := c.Conn.Read(buf); err != nil {
			return
		}
	}
}
