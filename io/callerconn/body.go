package callerconn

import (
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"cyclamendyke"
)

// pieceBytes is how much of a body is charged and read at a time.
const pieceBytes = 16 << 10

// Request is what the budget knows of a request. A nil Request has no limits.
type Request struct {
	conn *conn
}

// RequestOf returns the request of a server that a guard is attached to, or nil.
func RequestOf(r *http.Request) *Request {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok {
		return &Request{c}
	}
	return nil
}

// Reserve charges what a request whose body is complete needs until its end. The error is of kind KindLimited if there is no room for it at
// present, and of KindTooLarge if there never is.
func (r *Request) Reserve(bytes int64) error {
	if r == nil {
		return nil
	}
	return r.conn.account.Reserve(bytes, r.conn.guard.now())
}

// ReadWithin limits how long the body may take to arrive, if the guard's settings allow for more.
func (r *Request) ReadWithin(timeout time.Duration) {
	if r != nil && timeout < r.conn.guard.bodyTimeout {
		_ = r.conn.SetReadDeadline(time.Now().Add(timeout))
	}
}

func (r *Request) grow(bytes int64) error {
	if r == nil {
		return nil
	}
	return r.conn.account.Grow(bytes, r.conn.guard.now())
}

func (r *Request) shrink(bytes int64) {
	if r != nil {
		r.conn.account.Shrink(bytes)
	}
}

var errBodyTooLarge = errors.New("request body is too large")

// ReadBody reads a body of a known length, or of -1, and charges it to the request. The error is of kind KindTooLarge if it is longer than
// limit, KindLimited if there is no room for it or it arrives too slowly, and else KindUnavailable.
func (r *Request) ReadBody(body io.Reader, length, limit int64) ([]byte, error) {
	if length > limit {
		return nil, NewError("read", cyclamendyke.KindTooLarge, errBodyTooLarge)
	}
	var pieces [][]byte
	var total, charged int64
	for {
		size := min(pieceBytes, limit+1-total)
		if total == 0 && length > 0 {
			size = min(size, length)
		}
		if err := r.grow(size); err != nil {
			return nil, err
		}
		charged += size
		piece, err := fill(make([]byte, size), body)
		pieces = append(pieces, piece)
		total += int64(len(piece))
		switch {
		case total > limit:
			return nil, NewError("read", cyclamendyke.KindTooLarge, errBodyTooLarge)
		case errors.Is(err, io.EOF):
			return r.join(pieces, total, charged)
		case errors.Is(err, cyclamendyke.KindLimited):
			return nil, err
		case err != nil:
			return nil, NewError("read", cyclamendyke.KindUnavailable, err)
		}
	}
}

// fill reads until a piece is full, and returns what was read with the reader's error.
func fill(piece []byte, from io.Reader) ([]byte, error) {
	read := 0
	for read < len(piece) {
		n, err := from.Read(piece[read:])
		read += n
		if err != nil {
			return piece[:read], err
		}
	}
	return piece, nil
}

// join returns the pieces of a body as one, which is charged in place of them.
func (r *Request) join(pieces [][]byte, total, charged int64) ([]byte, error) {
	if len(pieces) == 1 {
		return pieces[0], nil
	}
	if err := r.grow(total); err != nil {
		return nil, err
	}
	text := slices.Concat(pieces...)
	r.shrink(charged)
	return text, nil
}
