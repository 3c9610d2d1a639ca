package ctl

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/skylarklock/skylarklock/internal/logread"
)

// Account returns the account subcommand, which shows from the log lines of all machines in which
// stages jobs spent their time.
func Account(stdin io.Reader, stdout io.Writer) *ffcli.Command {
	var by string
	command := logLinesCommand("account", "account [-lines FILE] [-by KEYS]", "shows from the lines of all machines where the time of jobs went", stdin,
		func(lines *logread.Lines, args []string) error {
			if len(args) != 0 {
				return badInput("account: takes no arguments, got %q", args)
			}
			keys, err := parseAccountKeys(by)
			if err != nil {
				return err
			}
			return writeAccount(stdout, logread.GroupAccounts(logread.Accounts(lines.Ordered()), keys), keys)
		})
	command.FlagSet.StringVar(&by, "by", "queue,punctuality", "`keys` of the rows, separated by commas: "+joinKeys(logread.AccountKeys))
	return command
}

func joinKeys(keys []logread.AccountKey) string {
	names := make([]string, len(keys))
	for i, k := range keys {
		names[i] = string(k)
	}
	return strings.Join(names, ", ")
}

func parseAccountKeys(text string) ([]logread.AccountKey, error) {
	var keys []logread.AccountKey
	for name := range strings.SplitSeq(text, ",") {
		key := logread.AccountKey(strings.TrimSpace(name))
		if !slices.Contains(logread.AccountKeys, key) {
			return nil, badInput("account: -by: unknown key %q, want one of %s", name, joinKeys(logread.AccountKeys))
		}
		keys = append(keys, key)
	}
	return keys, nil
}

// writeAccount prints the rows with the stages in which any job spent time, as means in
// milliseconds.
func writeAccount(stdout io.Writer, rows []logread.AccountRow, keys []logread.AccountKey) error {
	var stages []string
	for _, stage := range logread.AccountStages() {
		if slices.ContainsFunc(rows, func(r logread.AccountRow) bool { return r.Stages[stage] != 0 }) {
			stages = append(stages, stage)
		}
	}
	out := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	for _, key := range keys {
		fmt.Fprintf(out, "%s\t", strings.ToUpper(string(key)))
	}
	fmt.Fprintf(out, "JOBS\tMEAN MS\t%s\tUNATTRIBUTED\n", strings.ToUpper(strings.Join(stages, "\t")))
	for _, row := range rows {
		for _, value := range row.Values {
			fmt.Fprintf(out, "%s\t", value)
		}
		fmt.Fprintf(out, "%d\t%d\t", row.Jobs, row.Total.Milliseconds())
		for _, stage := range stages {
			fmt.Fprintf(out, "%d\t", row.Stages[stage].Round(time.Millisecond).Milliseconds())
		}
		fmt.Fprintf(out, "%d\n", row.Unattributed().Round(time.Millisecond).Milliseconds())
	}
	return out.Flush()
}
