package controld

import (
	"fmt"
	"strings"

	"github.com/godwithub/godwithub/consensus"
	"github.com/godwithub/godwithub/control"
)

// address is where a member is reached. The consensus group keeps it as the
// address of the member's replica, so that the ids and addresses of members
// are replicated with the membership itself and cannot differ from it.
type address struct {
	id       string // node id, the name in the certificate
	linkAddr string
	apiAddr  string
}

// String returns the form that the consensus group keeps.
func (a address) String() string { return a.id + " " + a.linkAddr + " " + a.apiAddr }

// parseAddress reads the form that String returns. It returns the zero address
// for any other text.
func parseAddress(text string) address {
	parts := strings.Split(text, " ")
	if len(parts) != 3 {
		return address{}
	}
	return address{parts[0], parts[1], parts[2]}
}

// linkAddrOf resolves addresses for the transport.
func linkAddrOf(text string) string { return parseAddress(text).linkAddr }

func memberAddress(m control.Member) address { return address{m.ID, m.LinkAddr, m.APIAddr} }

// memberOf describes a replica as a member of the control group.
func memberOf(m consensus.Member) control.Member {
	a := parseAddress(m.Addr)
	return control.Member{ID: a.id, LinkAddr: a.linkAddr, APIAddr: a.apiAddr, Voter: m.Voter}
}

// parseFounders reads a list of ID=LINKADDR/APIADDR.
func parseFounders(list []string) ([]address, error) {
	var out []address
	seen := map[string]bool{}
	for _, text := range list {
		id, addrs, named := strings.Cut(text, "=")
		linkAddr, apiAddr, both := strings.Cut(addrs, "/")
		if !named || !both || id == "" || hostIP(linkAddr) == nil || hostIP(apiAddr) == nil || strings.Contains(text, " ") {
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
