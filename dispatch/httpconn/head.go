package httpconn

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
)

const (
	// maxInterim bounds the interim answers (1xx) before an answer.
	maxInterim = 64
	// minStatus and maxStatus bound the status of a final answer (RFC 9110, section 15).
	minStatus, maxStatus = 200, 599
)

// readHead reads the head of an answer to req, and skips interim answers. It does not use
// http.ReadResponse, which accepts answers outside the protocol: status 000, versions like HTTP/2.0, and a
// length beside chunked encoding.
func (cn *conn) readHead(req *http.Request) (*http.Response, error) {
	cn.head.left = MaxHeadBytes
	defer func() { cn.head.left = math.MaxInt64 }()
	if cn.lines == nil {
		cn.lines = textproto.NewReader(cn.reader)
	}
	for range maxInterim {
		resp, err := readHead(cn.lines, req)
		switch {
		case err != nil && cn.head.left <= 0:
			return nil, fmt.Errorf("%w: over %d bytes", ErrHeadTooLarge, MaxHeadBytes)
		case err != nil:
			return nil, err
		case resp.StatusCode >= minStatus:
			return resp, nil
		}
	}
	return nil, fmt.Errorf("%w: %w: over %d interim answers", ErrMalformed, ErrHeadTooLarge, maxInterim)
}

// readHead reads one head, which may be that of an interim answer.
func readHead(tp *textproto.Reader, req *http.Request) (*http.Response, error) {
	line, err := tp.ReadLine()
	if err != nil {
		return nil, fmt.Errorf("httpconn: read the answer: %w", unexpectedEOF(err))
	}
	resp := &http.Response{Request: req}
	if err := parseStatusLine(line, resp); err != nil {
		return nil, err
	}
	header, err := tp.ReadMIMEHeader()
	var malformed textproto.ProtocolError
	switch {
	case errors.As(err, &malformed):
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	case err != nil:
		return nil, fmt.Errorf("httpconn: read the answer: %w", unexpectedEOF(err))
	}
	resp.Header = http.Header(header)
	for name := range resp.Header {
		if strings.ContainsAny(name, " \t") {
			return nil, fmt.Errorf("%w: space in the header name %.64q", ErrMalformed, name)
		}
	}
	return resp, setBody(resp, tp.R)
}

// parseStatusLine parses "HTTP/1.1 200 OK".
func parseStatusLine(line string, resp *http.Response) error {
	version, rest, _ := strings.Cut(line, " ")
	resp.Status = strings.TrimLeft(rest, " ")
	digits, _, _ := strings.Cut(resp.Status, " ")
	status, isNumber := parseDigits(digits)
	minor, isVersion := strings.CutPrefix(version, "HTTP/1.")
	switch {
	case !isVersion || len(minor) != 1 || minor[0] < '0' || minor[0] > '9':
		return fmt.Errorf("%w: the status line %.64q has no version HTTP/1.x", ErrMalformed, line)
	case !isNumber || len(digits) != 3:
		return fmt.Errorf("%w: the status line %.64q has no status of three digits", ErrMalformed, line)
	case status < http.StatusContinue || status > maxStatus:
		return fmt.Errorf("%w: status %s", ErrMalformed, digits)
	case status == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: the upstream switched protocols without being asked to", ErrMalformed)
	}
	resp.StatusCode = int(status)
	resp.Proto, resp.ProtoMajor, resp.ProtoMinor = version, 1, int(minor[0]-'0')
	return nil
}

// parseDigits parses a number that consists of decimal digits only.
func parseDigits(s string) (int64, bool) {
	for i := range len(s) {
		if s[i] < '0' || s[i] > '9' {
			return 0, false
		}
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil
}

// setBody determines the length of the body (RFC 9112, section 6.3) and whether the connection ends after
// the answer.
func setBody(resp *http.Response, r *bufio.Reader) error {
	chunked, err := isChunked(resp)
	if err != nil {
		return err
	}
	length, err := contentLength(resp.Header)
	switch {
	case err != nil:
		return err
	case chunked && length >= 0:
		return fmt.Errorf("%w: it has a length and is chunked", ErrMalformed)
	case resp.StatusCode < minStatus && (chunked || length > 0):
		return fmt.Errorf("%w: interim answer %d with a body", ErrMalformed, resp.StatusCode)
	}
	resp.Close = endsConnection(resp)
	resp.ContentLength = length
	switch {
	case resp.Request.Method == http.MethodHead:
		resp.Body = http.NoBody
	case resp.StatusCode < minStatus, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		// Whether bytes follow an answer 204 with a length is not certain.
		resp.Close = resp.Close || resp.StatusCode == http.StatusNoContent && (chunked || length > 0)
		resp.ContentLength, resp.Body = 0, http.NoBody
	case chunked:
		resp.TransferEncoding = []string{"chunked"}
		resp.Body = io.NopCloser(&chunkedBody{r: r, chunks: httputil.NewChunkedReader(r)})
	case length == 0:
		resp.Body = http.NoBody
	case length > 0:
		resp.Body = io.NopCloser(&fixedBody{r: r, left: length})
	default:
		resp.Close, resp.Body = true, io.NopCloser(r)
	}
	return nil
}

// endsWithConnection reports whether the body ends with the connection, since the answer does not say where.
func endsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// isChunked reports whether the body is chunked. Other encodings are not supported.
func isChunked(resp *http.Response) (bool, error) {
	encodings, ok := resp.Header["Transfer-Encoding"]
	if !ok {
		return false, nil
	}
	delete(resp.Header, "Transfer-Encoding")
	if len(encodings) != 1 || !strings.EqualFold(encodings[0], "chunked") || resp.ProtoMinor == 0 {
		return false, fmt.Errorf("%w: transfer encoding %.64q in %s", ErrMalformed, encodings, resp.Proto)
	}
	return true, nil
}

// contentLength returns the announced length of the body, or -1 if there is none.
func contentLength(h http.Header) (int64, error) {
	lengths := h["Content-Length"]
	if len(lengths) == 0 {
		return -1, nil
	}
	n, ok := parseDigits(lengths[0])
	if !ok {
		return 0, fmt.Errorf("%w: length %.64q", ErrMalformed, lengths[0])
	}
	for _, other := range lengths[1:] {
		if other != lengths[0] {
			return 0, fmt.Errorf("%w: lengths %.64q", ErrMalformed, lengths)
		}
	}
	h["Content-Length"] = lengths[:1]
	return n, nil
}

// endsConnection reports whether the upstream closes the connection after the answer.
func endsConnection(resp *http.Response) bool {
	var closes, keeps bool
	for _, line := range resp.Header["Connection"] {
		for option := range strings.SplitSeq(line, ",") {
			option = strings.TrimSpace(option)
			closes = closes || strings.EqualFold(option, "close")
			keeps = keeps || strings.EqualFold(option, "keep-alive")
		}
	}
	return closes || resp.ProtoMinor == 0 && !keeps
}

// fixedBody is a body with an announced length.
type fixedBody struct {
	r    io.Reader
	left int64
}

// Read implements io.Reader. It returns the end together with the last bytes.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	switch {
	case b.left == 0:
		return n, io.EOF
	case err != nil:
		return n, unexpectedEOF(err)
	}
	return n, nil
}

// chunkedBody is a chunked body with its trailer section, whose fields are not used.
type chunkedBody struct {
	r      *bufio.Reader
	chunks io.Reader
	err    error // after the end
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if errors.Is(err, io.EOF) {
		err = skipTrailer(b.r)
	}
	b.err = err
	return n, err
}

// skipTrailer reads the trailer section and returns io.EOF after its empty line.
func skipTrailer(r *bufio.Reader) error {
	for left := MaxHeadBytes; left > 0; {
		line, err := r.ReadSlice('\n')
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			return fmt.Errorf("%w: long line in the trailer", ErrMalformed)
		case err != nil:
			return unexpectedEOF(err)
		case string(line) == "\r\n":
			return io.EOF
		case !bytes.HasSuffix(line, []byte("\r\n")) || bytes.IndexByte(line, ':') <= 0:
			return fmt.Errorf("%w: line %.64q in the trailer", ErrMalformed, line)
		}
		left -= len(line)
	}
	return fmt.Errorf("%w: trailer", ErrHeadTooLarge)
}
