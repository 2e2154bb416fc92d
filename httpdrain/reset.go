package httpdrain

import "net/http"

// Reset ends the connection of an HTTP/1.x answer by a reset, so that a caller for whom the answer ends with its
// connection does not take it for complete. It does nothing if w cannot give its connection up.
func Reset(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	if l, ok := nc.(interface{ SetLinger(seconds int) error }); ok {
		l.SetLinger(0)
	}
	nc.Close()
}

// SetLinger sets what Close does with bytes that are not sent yet; see net.TCPConn.
func (c *conn) SetLinger(seconds int) error {
	if l, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		return l.SetLinger(seconds)
	}
	return nil
}
