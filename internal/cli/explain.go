package cli

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"
)

// logLine is a parsed line of an entry VM's log.
type logLine struct {
	at     time.Time
	text   string // the JSON object as logged
	fields map[string]any
}

// field returns a field's value as text, or "" if the line does not have the field.
func (l *logLine) field(name string) string {
	if v, ok := l.fields[name]; ok {
		return fmt.Sprint(v)
	}
	return ""
}

// explainCommand returns the command that merges the lines about one request from the logs of
// several VMs.
func (a *app) explainCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "explain ID LOG...",
		Short: "Show what entry VMs logged about one request, and what they believed",
		Long: "Reads the logs of entry VMs (- for standard input), and prints in the order of time the lines of\n" +
			"the request with the ID, and before them the last lines about the configuration, the store, and the\n" +
			"servers and rollouts that these name. Clocks of VMs may differ by milliseconds.",
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			lines, err := readLogs(args[1:])
			if err != nil {
				return err
			}
			return a.explain(args[0], lines)
		},
	}
}

// readLogs returns the lines of all files, sorted by time. The file name "-" means standard input.
func readLogs(files []string) ([]logLine, error) {
	var lines []logLine
	for _, file := range files {
		in := io.Reader(os.Stdin)
		if file != "-" {
			f, err := os.Open(file)
			if err != nil {
				return nil, exitErrorf(ExitUsage, "log: %v", err)
			}
			defer func() { _ = f.Close() }() // the file was only read, so an error has no effect
			in = f
		}
		read, err := parseLog(in)
		if err != nil {
			return nil, exitErrorf(ExitUsage, "log %s: %v", file, err)
		}
		lines = append(lines, read...)
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.at.Compare(b.at) })
	return lines, nil
}

// maxLogLine is the maximum length of a line in bytes.
const maxLogLine = 1 << 20

// parseLog reads the JSON objects of a log, one on a line. It ignores text before an object,
// and skips lines without a valid object or a valid time.
func parseLog(in io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		_, object, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		l := logLine{text: "{" + object}
		if json.Unmarshal([]byte(l.text), &l.fields) != nil {
			continue
		}
		if at, err := time.Parse(time.RFC3339Nano, l.field("time")); err == nil {
			l.at = at
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// stateMessages holds the messages that log a change of a VM's view of the deployment, each with
// the log field that names the server, peer or replica set it is about. Messages without such a
// field are shown for every request.
var stateMessages = map[string]string{
	"configuration is in force": "", "store does not answer": "", "store is back": "",
	"entries may have lapsed while the store was away": "", "store came back from an older copy, listing all objects": "",
	"zone": "", "server": "server", "server is gone": "server", "followed VM is lost": "peer",
	"rollout": "set", "target version of a rollout is withheld": "set",
}

// explain prints the lines about the request id, and the state lines of the VMs that logged them,
// sorted by time.
func (a *app) explain(id string, lines []logLine) error {
	vms := make(map[string]bool)
	var requestLines []logLine
	for _, l := range lines {
		if l.field("request") == id {
			requestLines = append(requestLines, l)
			vms[l.field("vm")] = true
		}
	}
	if len(requestLines) == 0 {
		return exitErrorf(ExitFailed, "no line about request %q; answers that were complete at once leave none", id)
	}
	shown := append(stateLines(lines, requestLines, vms), requestLines...)
	slices.SortStableFunc(shown, func(a, b logLine) int { return a.at.Compare(b.at) })
	for _, l := range shown {
		a.printLine(l)
	}
	return nil
}

// stateLines returns the lines that show the state in which the given VMs handled a request. For
// each VM and each message in stateMessages, it returns the last line that is not later than the
// request's last line. If the message is about a server, peer or replica set, it returns one such
// line for each of them that appears in the request's lines, and none for the others.
func stateLines(lines, requestLines []logLine, vms map[string]bool) []logLine {
	text := ""
	for _, l := range requestLines {
		text += l.text
	}
	last := make(map[string]logLine)
	for _, l := range lines {
		nameField, ok := stateMessages[l.field("message")]
		if !ok || !vms[l.field("vm")] || l.at.After(requestLines[len(requestLines)-1].at) {
			continue
		}
		subject := ""
		if nameField != "" {
			subject = l.field(nameField)
			if !strings.Contains(text, subject) {
				continue
			}
		}
		last[l.field("vm")+"\x00"+l.field("message")+"\x00"+subject] = l
	}
	found := make([]logLine, 0, len(last))
	for _, l := range last {
		found = append(found, l)
	}
	slices.SortFunc(found, func(a, b logLine) int { return cmp.Compare(a.text, b.text) })
	return found
}

func (a *app) printLine(l logLine) {
	if a.output == "json" {
		fmt.Fprintln(a.out, l.text)
		return
	}
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "vm", "message", "request", "level":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var fields strings.Builder
	for _, name := range names {
		fmt.Fprintf(&fields, "  %s=%s", name, l.field(name))
	}
	fmt.Fprintf(a.out, "%s  %s  %s%s\n", l.at.UTC().Format("15:04:05.000"), l.field("vm"), l.field("message"), fields.String())
}
