package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cyclamendyke"
)

// TestRemovedMemberIsNotReconnected removes a member while a call to it dials; the new connection must be closed.
func TestRemovedMemberIsNotReconnected(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	const failedDials = 2 // Those of the first heartbeat.
	dials := make(chan func(net.Conn))
	pool := NewPool(PoolConfig{
		Clock:             stubClock{},
		State:             func() cyclamendyke.MemberState { return cyclamendyke.MemberState{} },
		HeartbeatInterval: time.Hour,
		Dial: func(context.Context, string) (net.Conn, error) {
			conns := make(chan net.Conn)
			dials <- func(conn net.Conn) { conns <- conn }
			if conn := <-conns; conn != nil {
				return conn, nil
			}
			return nil, errors.New("no route")
		},
	})
	defer pool.Close()
	pool.SetMembers([]cyclamendyke.Member{{Name: "b", Peer: "192.0.2.1:1"}})
	for range failedDials {
		answer := <-dials
		answer(nil)
	}
	submitErr := make(chan error, 1)
	go func() {
		_, err := pool.Submit(ctx, "b", cyclamendyke.Job{})
		submitErr <- err
	}()
	answer := <-dials
	pool.SetMembers(nil)
	pool.wg.Wait() // The link's heartbeats have ended.
	client, server := net.Pipe()
	answer(client)
	_, err := server.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	is.True(errors.Is(<-submitErr, cyclamendyke.KindUnavailable)) // The request was not sent.
}
