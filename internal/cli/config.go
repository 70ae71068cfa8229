package cli

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pmezard/go-difflib/difflib"
	"github.com/spf13/cobra"

	"github.com/gooseberrylock/gooseberrylock/api/operator"
	"github.com/gooseberrylock/gooseberrylock/settings"
	"github.com/gooseberrylock/gooseberrylock/template"
)

func (a *app) applyCommand() *cobra.Command {
	var ifVersion int64
	cmd := &cobra.Command{
		Use:   "apply FILE",
		Short: "Apply a customer's template",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, customer, err := readTemplate(args[0])
			if err != nil {
				return err
			}
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			p := operator.ApplyTemplateParams{Customer: customer}
			if cmd.Flags().Changed("if-version") {
				p.IfVersion = operator.NewOptInt64(ifVersion)
			}
			res, err := c.ApplyTemplate(cmd.Context(), &operator.TemplateText{Text: string(text)}, p)
			if err != nil {
				return a.operatorError(err)
			}
			return a.reportResult(res, "applied template of "+customer)
		},
	}
	cmd.Flags().Int64Var(&ifVersion, "if-version", 0,
		"version that the change was made from (see get); a conflict is reported if it has changed since")
	return cmd
}

// readTemplate reads and parses a template file, and returns its text and its customer.
func readTemplate(file string) (text []byte, customer string, err error) {
	text, err = os.ReadFile(file)
	if err != nil {
		return nil, "", exitErrorf(ExitUsage, "read template: %v", err)
	}
	t, err := template.Parse(file, text)
	if err != nil {
		return nil, "", &exitError{code: ExitUsage, err: err}
	}
	return text, string(t.Customer), nil
}

func (a *app) getCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "get [CUSTOMER]",
		Short: "Show the template of a customer, or list all",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			if len(args) == 0 {
				return a.listTemplates(cmd, c)
			}
			t, err := c.GetTemplate(cmd.Context(), operator.GetTemplateParams{Customer: args[0]})
			if err != nil {
				return a.operatorError(err)
			}
			return a.print(t, func(w io.Writer) {
				fmt.Fprintf(w, "// version %d\n%s\n", t.Version, bytes.TrimRight([]byte(t.Text), "\n"))
			})
		},
	}
}

func (a *app) listTemplates(cmd *cobra.Command, c *operator.Client) error {
	list, err := c.ListTemplates(cmd.Context())
	if err != nil {
		return a.operatorError(err)
	}
	return a.print(list, func(w io.Writer) {
		for _, t := range list.Templates {
			fmt.Fprintf(w, "%s version %d\n", t.Customer, t.Version)
		}
	})
}

func (a *app) diffCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "diff FILE",
		Short: "Show how a template differs from the one in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, customer, err := readTemplate(args[0])
			if err != nil {
				return err
			}
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			t, err := c.GetTemplate(cmd.Context(), operator.GetTemplateParams{Customer: customer})
			if err != nil {
				return a.operatorError(err)
			}
			diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
				A:        difflib.SplitLines(t.Text),
				B:        difflib.SplitLines(string(text)),
				FromFile: fmt.Sprintf("%s version %d", customer, t.Version),
				ToFile:   args[0],
				Context:  3,
			})
			if err != nil {
				return err
			}
			out := struct {
				Version int64  `json:"version"`
				Diff    string `json:"diff"`
			}{t.Version, diff}
			return a.print(out, func(w io.Writer) { fmt.Fprint(w, diff) })
		},
	}
}

// checkSettings loads the settings and their TLS files as a daemon does when it starts.
func checkSettings(file string) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	_, err = s.TLS.Load()
	return err
}

func (a *app) checkCommand() *cobra.Command {
	var settingsFiles, templateFiles []string
	cmd := &cobra.Command{
		Use:   "check [--settings FILE]... [--template FILE]...",
		Short: "Check settings and templates offline, as a daemon would",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if len(settingsFiles)+len(templateFiles) == 0 {
				return exitErrorf(ExitUsage, "name at least one file with --settings or --template")
			}
			for _, f := range settingsFiles {
				if err := checkSettings(f); err != nil {
					return &exitError{code: ExitUsage, err: err}
				}
			}
			for _, f := range templateFiles {
				if _, _, err := readTemplate(f); err != nil {
					return err
				}
			}
			ok := struct {
				Files int `json:"files"`
			}{len(settingsFiles) + len(templateFiles)}
			return a.print(ok, func(w io.Writer) { fmt.Fprintf(w, "ok: %d files\n", ok.Files) })
		},
	}
	cmd.Flags().StringArrayVar(&settingsFiles, "settings", nil, "settings file of a daemon")
	cmd.Flags().StringArrayVar(&templateFiles, "template", nil, "template of a customer")
	return cmd
}

func (a *app) pauseCommand() *cobra.Command {
	var reason, until string
	cmd := &cobra.Command{
		Use:   "pause",
		Short: "Pause automation",
		Long: "Pauses every action that changes what operators asked for or that moves traffic by\n" +
			"itself. Load limits, takeover, zone-out and the withholding of bad versions go on.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			req := &operator.AutomationChange{Paused: true}
			if until != "" {
				t, err := time.Parse(time.RFC3339, until)
				if err != nil {
					return exitErrorf(ExitUsage, "--until %q is not a time such as 2026-12-24T18:00:00Z", until)
				}
				req.Until = operator.NewOptDateTime(t)
			}
			if reason != "" {
				req.Reason = operator.NewOptString(reason)
			}
			return a.setAutomation(cmd, req, "automation paused")
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason shown in reports")
	cmd.Flags().StringVar(&until, "until", "", "time at which automation resumes by itself (RFC 3339)")
	return cmd
}

func (a *app) resumeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "resume",
		Short: "Resume automation",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return a.setAutomation(cmd, &operator.AutomationChange{}, "automation resumed")
		},
	}
}

func (a *app) setAutomation(cmd *cobra.Command, req *operator.AutomationChange, done string) error {
	c, err := a.operatorClient()
	if err != nil {
		return err
	}
	res, err := c.SetAutomation(cmd.Context(), req)
	if err != nil {
		return a.operatorError(err)
	}
	return a.reportResult(res, done)
}

func (a *app) zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take an availability zone out or bring it back"}
	cmd.AddCommand(a.zoneChangeCommand("out", true), a.zoneChangeCommand("in", false))
	return cmd
}

// zoneChangeCommand returns the subcommand that takes a zone out, or brings it back if out is
// false.
func (a *app) zoneChangeCommand(use string, out bool) *cobra.Command {
	var reason string
	cmd := &cobra.Command{
		Use:   use + " ZONE",
		Short: map[bool]string{true: "Send no new work to a zone", false: "Bring a zone back, ramping up"}[out],
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := a.operatorClient()
			if err != nil {
				return err
			}
			req := &operator.ZoneChange{Out: out}
			if reason != "" {
				req.Reason = operator.NewOptString(reason)
			}
			res, err := c.SetZone(cmd.Context(), req, operator.SetZoneParams{Zone: args[0]})
			if err != nil {
				return a.operatorError(err)
			}
			return a.reportResult(res, "zone "+args[0]+" "+use)
		},
	}
	cmd.Flags().StringVar(&reason, "reason", "", "reason shown in reports")
	return cmd
}
