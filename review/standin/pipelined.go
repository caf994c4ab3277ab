package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// requestDeadline is the clients' deadline and the route's timeout. What ends later is excused.
const requestDeadline = 2500 * time.Millisecond

// runPipelined checks LOST around a SIGTERM: clients send two requests on one connection
// without waiting for the first answer, and the router gets a SIGTERM while it serves the
// first.
func runPipelined(c *cluster) error {
	if err := c.configure(newOperator(c.record, c.controlAddresses())); err != nil {
		return err
	}
	time.Sleep(5 * time.Second) // in touch, with no trouble since the start
	router := c.routers()[1]
	const clients = 8
	results := make(chan error, clients)
	for number := range clients {
		go func() { results <- c.sendPair(router, number) }()
	}
	time.Sleep(runnerWork / 2)
	if c.trouble {
		c.printf("SIGTERM to the router at %s", router.ip)
		router.signal(syscall.SIGTERM)
	}
	lost := 0
	var failure error
	for range clients {
		err := <-results
		if errors.Is(err, errBroken) {
			lost++
		} else if err != nil {
			failure = err
		}
	}
	c.printExecutions()
	if failure != nil {
		return failure
	}
	if lost > 0 {
		return fmt.Errorf("%w: %d of %d second requests were read and ended without an answer", errBroken, lost, clients)
	}
	return nil
}

// sendPair sends two requests at once on a connection and reads both answers.
func (c *cluster) sendPair(router *daemon, number int) error {
	conn, err := net.Dial("tcp", net.JoinHostPort(router.ip, strconv.Itoa(frontPort)))
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ids := []string{fmt.Sprintf("p%d-first", number), fmt.Sprintf("p%d-second", number)}
	var text strings.Builder
	for _, id := range ids {
		fmt.Fprintf(&text, "GET /label/%s HTTP/1.1\r\nHost: hall.example\r\nOnyxwell-Attempt-Id: %s\r\nOnyxwell-Time-Left-Ms: 2500\r\n\r\n", id, id)
	}
	sent := time.Now()
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return err
	}
	_ = conn.SetReadDeadline(sent.Add(graceTime))
	reader := bufio.NewReader(conn)
	for index, id := range ids {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			after := time.Since(sent)
			c.printf("client %d: %s ended without an answer %v after its last byte was sent: %v", number, id, after.Round(time.Millisecond), err)
			// A connection with unread bytes is reset. An orderly end shows that the router
			// had read all that was sent.
			if index == 1 && errors.Is(err, io.ErrUnexpectedEOF) && after > lostSlackTime && after < requestDeadline {
				return errBroken
			}
			return fmt.Errorf("client %d: %s: %w", number, id, err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return err
		}
		c.printf("client %d: %s: status %d, seal %q, says close %v, %d bytes after %v", number, id, resp.StatusCode, resp.Header.Get("Onyxwell-Server-Seal"), resp.Close, len(body), time.Since(sent).Round(time.Millisecond))
	}
	return nil
}
