package scenario

// This file alone knows the program and flag names of the daemons.

const (
	nodeProgram    = "godwithub-node"
	controlProgram = "godwithub-control"
)

// The region and failure domain of control VMs.
const (
	controlRegion = "doto"
	controlDomain = "obihiro-a"
)

// repeated returns a flag once for each value.
func repeated(flag string, values []string) []string {
	var out []string
	for _, v := range values {
		out = append(out, flag, v)
	}
	return out
}

func (w *world) nodeFlags(n *fleetNode, keyDir, region, domain string) []string {
	flags := []string{
		"-node-id", n.name, "-region", region, "-failure-domain", domain,
		"-caller-addr", n.addr(portCaller), "-link-addr", n.addr(portLink),
		"-gossip-addr", n.addr(portGossip), "-announce-addr", n.addr(portAnnounce),
		"-debug-addr", n.addr(portDebug), "-keys", keyDir,
	}
	flags = append(flags, repeated("-control-addrs", w.controlLinks())...)
	return append(flags, repeated("-seeds", w.seeds())...)
}

// seeds is the link address of the first node, unless the script says otherwise.
func (w *world) seeds() []string {
	if w.fleet.seeds != nil {
		return w.fleet.seeds
	}
	return []string{joinPort(w.vm(1), portLink)}
}

func (w *world) controlFlags(m member, keyDir string, join bool) []string {
	ip := w.vm(m.vm)
	flags := []string{
		"-node-id", m.name, "-region", controlRegion, "-failure-domain", controlDomain,
		"-link-addr", joinPort(ip, portLink), "-gossip-addr", joinPort(ip, portGossip),
		"-api-addr", joinPort(ip, portAPI), "-debug-addr", joinPort(ip, portDebug),
		"-data-dir", w.dataDir(m.name), "-keys", keyDir, "-token-file", w.tokenFile(),
	}
	if w.control.relayed {
		flags = append(flags, "-link-advertise", w.memberLink(m))
	}
	if join {
		return append(flags, append(repeated("-seeds", w.seeds()), "-join")...)
	}
	for i := range w.control.count {
		f := member{controlName(i + 1), firstControlVM + i}
		flags = append(flags, "-founders", f.name+"="+w.memberLink(f)+"/"+joinPort(w.vm(f.vm), portAPI))
	}
	return append(flags, repeated("-seeds", w.seeds())...)
}
