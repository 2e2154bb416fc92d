package scenario

// The program and flag names of the daemons are used in this file only.

const (
	nodeProgram    = "godwithub-node"
	controlProgram = "godwithub-control"
)

// Region and failure domain of the control VMs.
const (
	controlRegion = "doto"
	controlDomain = "obihiro-a"
)

// repeatFlag returns the arguments that give flag once for each value.
func repeatFlag(flag string, values []string) []string {
	var out []string
	for _, v := range values {
		out = append(out, flag, v)
	}
	return out
}

func (w *workspace) nodeFlags(n *fleetNode, keyDir, region, domain string) []string {
	flags := []string{
		"-node-id", n.name, "-region", region, "-failure-domain", domain,
		"-caller-addr", n.addr(portCaller), "-link-addr", n.addr(portLink),
		"-gossip-addr", n.addr(portGossip), "-announce-addr", n.addr(portAnnounce),
		"-debug-addr", n.addr(portDebug), "-keys", keyDir,
	}
	flags = append(flags, repeatFlag("-control-addrs", w.controlLinkAddrs())...)
	return append(flags, repeatFlag("-seeds", w.seeds())...)
}

// seeds returns the link addresses set by "fleet seeds", by default that of the first node.
func (w *workspace) seeds() []string {
	if w.fleet.seeds != nil {
		return w.fleet.seeds
	}
	return []string{joinPort(w.vmAddr(1), portLink)}
}

func (w *workspace) controlFlags(m member, keyDir string, join bool) []string {
	ip := w.vmAddr(m.vm)
	flags := []string{
		"-node-id", m.name, "-region", controlRegion, "-failure-domain", controlDomain,
		"-link-addr", joinPort(ip, portLink), "-gossip-addr", joinPort(ip, portGossip),
		"-api-addr", joinPort(ip, portAPI), "-debug-addr", joinPort(ip, portDebug),
		"-data-dir", w.dataDir(m.name), "-keys", keyDir, "-token-file", w.tokenFile(),
	}
	if w.control.relayed {
		flags = append(flags, "-link-advertise", w.memberLinkAddr(m))
	}
	if w.control.selfRepair {
		flags = append(flags, "-self-repair")
	}
	if join {
		return append(flags, append(repeatFlag("-seeds", w.seeds()), "-join")...)
	}
	for i := range w.control.count {
		founder := member{controlName(i + 1), firstControlVM + i}
		flags = append(flags, "-founders", founder.name+"="+w.memberLinkAddr(founder)+"/"+joinPort(w.vmAddr(founder.vm), portAPI))
	}
	return append(flags, repeatFlag("-seeds", w.seeds())...)
}
