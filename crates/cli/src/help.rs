//! The help texts.

/// What `-h` prints.
pub(crate) const SHORT: &str = "\
egretlb: configuration, jobs and state of an egretlb system

usage: egretlb [--server ADDR] COMMAND

  config check FILE     find all faults of a class configuration
  config diff FILE      show what FILE would change
  config apply FILE     put FILE in force everywhere
  config show           print the configuration in force
  job submit FILE       submit a job
  job status ID         show how far a job is
  job cancel ID         cancel a job
  status                list the nodes and what they have in force
  dump ADDR             show what one process knows
  explain ID [FILE...]  tell from logs what became of a workflow

--help says more, with all options and exit codes.
";

/// What `--help` prints.
pub(crate) const LONG: &str = "\
egretlb: configuration, jobs and state of an egretlb system

usage: egretlb [OPTIONS] COMMAND

Configuration. FILE is a class configuration, JSON with comments; it states
targets for each class and replaces what is in force as a whole.

  config check FILE     Find all faults of FILE, each with line, column and
                        remedy. Asks no daemon.
  config diff FILE      Show in a line each what FILE would change, and the
                        version to name as --base.
  config apply FILE     Put FILE in force everywhere. A file with faults is
                        never sent. If another configuration was accepted
                        since the base version, nothing is changed and the
                        difference to yours is shown.
    --base VERSION      The version that FILE was made from. Left out, it is
                        the one in force when the command starts.
    --by NAME           Who proposes it, for the record (default: $USER).
  config show           Print the configuration in force as a file.

Jobs. A job is named by its submitter; submitting it again has no effect.

  job submit FILE       Submit the job that FILE describes, or give:
    --job ID --class CLASS --tasks N --command TEXT
    --cpu 1500m --memory 2000MB --accelerators N
                        The last three together replace what the class
                        declares for a task.
  job status ID         Show how far a job is.
  job cancel ID         Cancel a job; its running tasks are stopped.

State.

  status                List the nodes with their shards and the version in
                        force at each.
  dump ADDR             Show what the process at ADDR (ip:port, its operators'
                        address) knows. No request bodies.
  explain ID [FILE...]  Tell what became of the workflow ID, or of one task
                        (ID.OCCURRENCE.STEP.INDEX), by the log lines of all VMs
                        in FILE... or on standard input: what happened in order
                        (~ marks its surroundings), then what follows. Asks no
                        daemon.

Options.

  --server ADDR[,ADDR]  Operators' addresses of entries or schedulers, tried
                        in turn (default: $EGRETLB_SERVER). Any will do.
  --timeout TIME        How long one call may be silent (default 5s).
  --wait TIME           How long a change is asked for again while no answer
                        comes (default 30s).
  --json                Print JSON, for scripts.
  -q, --quiet           Print nothing but what was asked for, and errors.
  -v, --verbose         Log each call to standard error; twice logs more.
  -h, --help            Short and long help.
  --version             Print the version.

Exit codes.

  0  done
  1  something else went wrong, such as a file that can't be read
  2  the command line is wrong; nothing was tried
  3  the file has faults; nothing was changed
  4  another configuration was accepted first; nothing was changed
  5  there is no such job, or no line names the workflow
  6  no answer in time; a change may have been made, and the same command
     again is safe
  7  refused; nothing was changed
";

/// What `--version` prints.
pub(crate) const VERSION: &str = concat!("egretlb ", env!("CARGO_PKG_VERSION"), "\n");
