package gateway

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop are the headers of one connection (RFC 9110, section 7.6.1), which are not passed on. Expect is answered by
// this process: the server sends 100 Continue when the first attempt begins to read the body.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// reserved are headers that only this process may send to a backend server, and the caller's key.
var reserved = []string{"Authorization", HeaderTeam, HeaderRequestID, "Request-Id", "Lease-Id"}

// forwardedHeader returns the caller's header as the backend server gets it.
func forwardedHeader(in http.Header, team string) http.Header {
	out := in.Clone()
	removeHopByHop(out)
	for name := range out {
		// Some servers treat "_" as "-", so Pollenlead_Team would pass for Pollenlead-Team.
		canonical := http.CanonicalHeaderKey(strings.ReplaceAll(name, "_", "-"))
		if slices.Contains(reserved, canonical) {
			delete(out, name)
		}
	}
	out.Set(HeaderTeam, team)
	return out
}

func removeHopByHop(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		h.Del(name)
	}
}
