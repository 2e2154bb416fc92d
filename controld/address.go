package controld

import (
	"fmt"
	"strings"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
)

// address is the node id and the network addresses of a member. Its text form is the address of
// the member's replica in the consensus membership, so that ids and addresses are replicated with
// the membership and cannot diverge from it.
type address struct {
	id       string // node id, the common name of the certificate
	linkAddr string
	apiAddr  string
}

// String returns the text form that is stored in the consensus membership.
func (a address) String() string { return a.id + " " + a.linkAddr + " " + a.apiAddr }

// parseAddress parses the text form that String returns. It returns the zero address for any other
// text.
func parseAddress(text string) address {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		return address{}
	}
	return address{parts[0], parts[1], parts[2]}
}

// linkAddrOf returns the link address in the text form of an address, for the transport.
func linkAddrOf(text string) string { return parseAddress(text).linkAddr }

func memberAddress(m control.Member) address { return address{m.ID, m.LinkAddr, m.APIAddr} }

// memberOf converts a consensus member to a member of the control group.
func memberOf(m consensus.Member) control.Member {
	a := parseAddress(m.Addr)
	return control.Member{ID: a.id, LinkAddr: a.linkAddr, APIAddr: a.apiAddr, Voter: m.Voter}
}

// parseFounders parses founders of the form ID=LINKADDR/APIADDR.
func parseFounders(list []string) ([]address, error) {
	var out []address
	seen := map[string]bool{}
	for _, text := range list {
		id, addrs, hasID := strings.Cut(text, "=")
		linkAddr, apiAddr, hasAPIAddr := strings.Cut(addrs, "/")
		if !hasID || !hasAPIAddr || id == "" || hostIP(linkAddr) == nil || hostIP(apiAddr) == nil || strings.Contains(text, " ") {
			return nil, fmt.Errorf("%q is not ID=LINKADDR/APIADDR with addresses of the form IP:port", text)
		}
		if seen[id] {
			return nil, fmt.Errorf("%q is named twice", id)
		}
		seen[id] = true
		out = append(out, address{id, linkAddr, apiAddr})
	}
	return out, nil
}
