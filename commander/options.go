package commander

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/integrii/flaggy"
)

const defaultWait = 30 * time.Second

// options holds the arguments of one run; positional arguments are strings.
type options struct {
	servers              []string
	ca, cert, key, name  string
	json                 bool
	wait                 time.Duration
	file                 string
	reason, operationID  string
	base, after, version uint64
	limit                uint32
	account, keyName     string
	toVersion            string
	restoreKeys          bool
	holder, directory    string
	addresses            []string
	days                 uint32
	metrics              string
}

// command is a leaf of the command tree.
type command struct {
	*flaggy.Subcommand
	run func(*session, context.Context) error
}

// exitPanic begins the message with which flaggy panics in place of an exit.
const exitPanic = "Panic instead of exit with code: "

// parse returns the chosen command, or nil if only help was asked for.
//
// Flaggy ends the program with code 2 on faulty arguments, which here means a
// conflict; so it is told to panic.
func parse(args []string, o *options) (chosen *command, err error) {
	flaggy.PanicInsteadOfExit = true
	defer func() {
		v := recover()
		text, ok := v.(string)
		switch {
		case v == nil:
		case !ok || !strings.HasPrefix(text, exitPanic):
			panic(v)
		case strings.TrimPrefix(text, exitPanic) == "0":
			chosen, err = nil, nil
		default:
			chosen, err = nil, merry.Wrap(errUsage)
		}
	}()
	p := flaggy.NewParser("celeryhead")
	p.Description = "Changes and shows the configuration of a deployment."
	p.ShowCompletion = false
	// The flag is taken by export.
	p.DisableShowVersionWithVersion()
	addConnection(p, o)
	commands := addCommands(p, o)
	if err = p.ParseArgs(args); err != nil {
		return nil, merry.Wrap(errUsage, merry.WithCause(err))
	}
	for _, c := range commands {
		if c.Used {
			return c, nil
		}
	}
	p.ShowHelp()
	return nil, merry.Append(errUsage, "a command is missing")
}

// addConnection adds the flags that all commands share.
func addConnection(p *flaggy.Parser, o *options) {
	p.StringSlice(&o.servers, "s", "server", "Address and port of an instance; may be given several times, the next is tried if one fails.")
	p.String(&o.ca, "", "ca", "File with the certificate of the authority (PEM).")
	p.String(&o.cert, "", "cert", "File with the operator's certificate (PEM).")
	p.String(&o.key, "", "key", "File with the operator's private key (PEM).")
	p.String(&o.name, "", "server-name", "Name in the instances' certificates, if it is not their address.")
	p.Bool(&o.json, "j", "json", "Print JSON (plan, status, audit, export).")
	p.Duration(&o.wait, "w", "wait", "How long to wait for a change to be in force everywhere.")
}

// addCommands adds the command tree and returns its leaves.
func addCommands(p *flaggy.Parser, o *options) []*command {
	check := newCommand("check", "Checks a configuration file without a connection.", (*session).check)
	addFile(check, o)

	plan := newCommand("plan", "Shows what a file would change.", (*session).plan)
	addFile(plan, o)

	apply := newCommand("apply", "Makes the configuration in a file the newest version.", (*session).apply)
	addFile(apply, o)
	addChange(apply, o)

	status := newCommand("status", "Shows instances, targets, shifts and accounts.", (*session).status)

	issue := newCommand("issue", "Makes a key; prints its secret once.", (*session).issueKey)
	withdraw := newCommand("withdraw", "Withdraws a key.", (*session).withdrawKey)
	keys := flaggy.NewSubcommand("key")
	keys.Description = "Issues and withdraws keys of client accounts."
	for _, c := range []*command{issue, withdraw} {
		c.AddPositionalValue(&o.account, "account", 1, true, "Name of the client account.")
		c.AddPositionalValue(&o.keyName, "name", 2, true, "Name of the key within the account.")
		c.String(&o.reason, "r", "reason", "Reason for the audit trail.")
		keys.AttachSubcommand(c.Subcommand, 1)
	}

	audit := newCommand("audit", "Shows who changed what, and why.", (*session).audit)
	audit.UInt64(&o.after, "a", "after", "Show versions above this one only.")
	audit.UInt32(&o.limit, "l", "limit", "Show at most this many versions (100).")

	rollback := newCommand("rollback", "Makes an earlier configuration the newest version.", (*session).rollback)
	rollback.AddPositionalValue(&o.toVersion, "version", 1, true, "Version whose configuration to take.")
	addChange(rollback, o)
	rollback.Bool(&o.restoreKeys, "", "restore-keys", "Allow keys that were withdrawn since to become valid again.")

	export := newCommand("export", "Prints a configuration.", (*session).export)
	export.UInt64(&o.version, "v", "version", "Version to print (the newest).")

	instance := newCommand("instance", "Shows what an instance on the users' platform believes.", (*session).instance)
	instance.AddPositionalValue(&o.metrics, "address", 1, true, "Address and port of its metrics.")

	certificates, certify := newCertificates(o)

	for _, c := range []*flaggy.Subcommand{
		check.Subcommand, plan.Subcommand, apply.Subcommand, status.Subcommand, keys,
		audit.Subcommand, rollback.Subcommand, export.Subcommand, instance.Subcommand, certificates,
	} {
		p.AttachSubcommand(c, 1)
	}
	return append(certify, check, plan, apply, status, issue, withdraw, audit, rollback, export, instance)
}

func newCertificates(o *options) (*flaggy.Subcommand, []*command) {
	t := flaggy.NewSubcommand("certificate")
	t.Description = "Makes the certificates of a deployment, in files of a directory."
	cs := []*command{
		newCommand("authority", "Makes the authority that signs the others.", (*session).makeAuthority),
		newCommand("peer", "Makes the certificate of an instance.", (*session).certifyPeer),
		newCommand("operator", "Makes the certificate of an operator.", (*session).certifyOperator),
	}
	for _, c := range cs {
		c.AddPositionalValue(&o.holder, "name", 1, true, "Name of the deployment, instance or operator.")
		c.String(&o.directory, "d", "directory", "Directory of the files (the current one).")
		c.UInt32(&o.days, "", "days", "How long the certificate is valid (1 year; the authority 10 years).")
		c.StringSlice(&o.addresses, "", "address", "IP address of an instance; may be given several times.")
		t.AttachSubcommand(c.Subcommand, 1)
	}
	return t, cs
}

func newCommand(name, description string, run func(*session, context.Context) error) *command {
	c := &command{Subcommand: flaggy.NewSubcommand(name), run: run}
	c.Description = description
	return c
}

func addFile(c *command, o *options) {
	c.AddPositionalValue(&o.file, "file", 1, true, "Configuration in TOML.")
}

// addChange adds the flags of commands that make a change.
func addChange(c *command, o *options) {
	c.String(&o.reason, "r", "reason", "Reason for the audit trail; required.")
	c.UInt64(&o.base, "b", "base", "Version that plan showed; refuses the change if there is a newer one.")
	c.String(&o.operationID, "", "operation-id", "Repeats an earlier change on the version in --base whose outcome is unknown.")
}

// parseVersion reads a configuration version.
func parseVersion(s string) (uint64, error) {
	v, err := strconv.ParseUint(s, 10, 64)
	if err != nil || v == 0 {
		return 0, merry.Appendf(errUsage, "%q is not a configuration version", s)
	}
	return v, nil
}
