package client_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"azurelane/io/client"
)

// Guards against an answer that is taken although its head is not well-formed: nothing shows what it means, or where
// its body ends.
func TestMalformedHead(t *testing.T) {
	const (
		length = "Content-Length: 4\r\n"
		ok     = "HTTP/1.1 200 OK"
	)
	for _, tc := range []struct {
		name, status, header string
		ok                   bool
	}{
		{name: "whole", status: "HTTP/1.1 200 OK", header: length, ok: true},
		{name: "no reason", status: "HTTP/1.1 200", header: length, ok: true},
		{name: "HTTP/1.0", status: "HTTP/1.0 200 OK", header: length, ok: true},
		{name: "unknown status", status: "HTTP/1.1 299 X", header: length, ok: true},
		{name: "highest status", status: "HTTP/1.1 599 X", header: length, ok: true},
		{name: "after an interim one", status: "HTTP/1.1 199 X\r\n\r\nHTTP/1.1 404 X", header: length, ok: true},
		{name: "status 000", status: "HTTP/1.1 000 X", header: length},
		{name: "status 001", status: "HTTP/1.1 001 X", header: length},
		{name: "status 099", status: "HTTP/1.1 099 X", header: length},
		{name: "status 600", status: "HTTP/1.1 600 X", header: length},
		{name: "status 999", status: "HTTP/1.1 999 X", header: length},
		{name: "status with a sign", status: "HTTP/1.1 +20 X", header: length},
		{name: "status with a minus", status: "HTTP/1.1 -20 X", header: length},
		{name: "status of two digits", status: "HTTP/1.1 20 X", header: length},
		{name: "status of four digits", status: "HTTP/1.1 2000 X", header: length},
		{name: "status 101", status: "HTTP/1.1 101 X", header: length},
		{name: "status 101 that names a protocol", status: "HTTP/1.1 101 X", header: "Connection: Upgrade\r\nUpgrade: websocket\r\n"},
		{name: "coding and a length in HTTP/1.0", status: "HTTP/1.0 200 OK", header: "transfer-encoding: chunked\r\n" + length},
		{name: "coding named in HTTP/1.0", status: "HTTP/1.0 200 OK", header: "Vary: Transfer-Encoding: chunked\r\n" + length, ok: true},
		{name: "another version", status: "HTTP/2.0 200 OK", header: length},
		{name: "name of all token characters", status: ok, header: "!#$%&'*+-.^_`|~0aZ: 1\r\n" + length, ok: true},
		{name: "blank before the value", status: ok, header: "X-A: \t 1 \r\n" + length, ok: true},
		{name: "blank before the colon", status: ok, header: "X-A : 1\r\n" + length},
		{name: "blank in a name", status: ok, header: "Content-Type x: text/plain\r\n" + length},
		{name: "blank after chunked coding", status: ok, header: "Transfer-Encoding : chunked\r\n" + length},
		{name: "blank after a second length", status: ok, header: "Content-Length : 17\r\n" + length},
		{name: "blank after connection", status: ok, header: "Connection : close\r\n" + length},
		{name: "tab in a name", status: ok, header: "X\tA: 1\r\n" + length},
		{name: "tab before the colon", status: ok, header: "X-A\t: 1\r\n" + length},
		{name: "NUL in a name", status: ok, header: "X\x00A: 1\r\n" + length},
		{name: "control byte in a name", status: ok, header: "X\x01A: 1\r\n" + length},
		{name: "DEL in a name", status: ok, header: "X\x7fA: 1\r\n" + length},
		{name: "separator in a name", status: ok, header: "X(A): 1\r\n" + length},
		{name: "byte above 7f in a name", status: ok, header: "X\xe4A: 1\r\n" + length},
		{name: "no name", status: ok, header: ": 1\r\n" + length},
		{name: "blank for a name", status: ok, header: " : 1\r\n" + length},
		{name: "no colon", status: ok, header: "X-A\r\n" + length},
		{name: "NUL in a value", status: ok, header: "X-A: a\x00b\r\n" + length},
		{name: "control byte in a value", status: ok, header: "X-A: a\x01b\r\n" + length},
		{name: "two lengths", status: ok, header: "Content-Length: 3\r\n" + length},
		{name: "negative length", status: ok, header: "Content-Length: -4\r\n"},
		{name: "length with a sign", status: ok, header: "Content-Length: +4\r\n"},
		{name: "unknown coding", status: ok, header: "Transfer-Encoding: gzip\r\n" + length},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := serve(t, func(_ int64, r *http.Request) string {
				return tc.status + "\r\n" + strings.Split(echo(r, ""), "\r\n")[1] + "\r\n" + tc.header + "\r\ntext"
			})
			got, sent, err := u.ask(http.MethodPost, "1", "x")
			must.True(t, sent || tc.ok)
			must.Eq(t, tc.ok, err == nil, must.Sprint(got, err))
			if tc.ok {
				must.Eq(t, "text", got)
			}
			must.Eq(t, 1, u.requests.Load())
		})
	}
}

// Guards against trailers that are not well-formed after a body that is taken for whole.
func TestMalformedTrailer(t *testing.T) {
	for _, tc := range []struct {
		name, trailer string
		ok            bool
	}{
		{name: "none", ok: true},
		{name: "well-formed", trailer: "X-A: 1\r\n", ok: true},
		{name: "blank before the colon", trailer: "X-A : 1\r\n"},
		{name: "blank in a name", trailer: "X A: 1\r\n"},
		{name: "control byte in a name", trailer: "X\x01A: 1\r\n"},
		{name: "no colon", trailer: "X-A\r\n"},
		{name: "control byte in a value", trailer: "X-A: a\x01b\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			u := serve(t, func(_ int64, r *http.Request) string {
				return strings.Replace(echo(r, ""), "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", 1) + "4\r\ntext\r\n0\r\n" + tc.trailer + "\r\n"
			})
			got, _, err := u.ask(http.MethodPost, "1", "x")
			must.Eq(t, tc.ok, err == nil, must.Sprint(got, err))
			must.Eq(t, "text", got)
		})
	}
}

// Guards against the frames of chunks that are taken for a body: net/http does not obey a coding in HTTP/1.0.
func TestCodingInHTTP10(t *testing.T) {
	for _, header := range []string{
		"Transfer-Encoding: chunked\r\n", "transfer-encoding: chunked\r\nX-A: 1\r\n", "X-A: 1\r\nTransfer-Encoding:chunked\r\n", "Transfer-Encoding: identity\r\n",
	} {
		response := "HTTP/1.0 200 OK\r\nAzurelane-Request: ID\r\n" + header + "\r\n4\r\ntext\r\n0\r\n\r\n"
		for _, response := range []string{response, strings.ReplaceAll(response, "\r", "")} {
			addr, _ := cutServer(t, response)
			for _, kept := range []bool{false, true} {
				c := &client.Client{}
				got, err := cut{at: len(response), kept: kept}.ask(c, addr, "10")
				must.Error(t, err, must.Sprint(got))
				c.Close()
			}
		}
	}
}
