//! Help texts.

/// Text of `-h`.
pub(crate) const SHORT: &str = "\
egretlb: configuration, jobs and state of an egretlb system

usage: egretlb [--server ADDR] COMMAND

  config check FILE     find all faults of a class configuration
  config diff FILE      show what FILE would change
  config apply FILE     put FILE in force everywhere
  config show           print the configuration in force
  job submit FILE       submit a job
  job status ID         show the state of a job
  job cancel ID         cancel a job
  status                list the nodes and what they have in force
  dump ADDR             show the state of one process
  explain ID [FILE...]  show the history of a workflow from logs

--help says more, with all options and exit codes.
";

/// Text of `--help`.
pub(crate) const LONG: &str = "\
egretlb: configuration, jobs and state of an egretlb system

usage: egretlb [OPTIONS] COMMAND

Configuration. FILE is a class configuration, JSON with comments; it states
targets for each class and replaces what is in force as a whole.

  config check FILE     Find all faults of FILE, each with line, column and
                        fix. Calls no daemon.
  config diff FILE      Show what FILE would change, one line per change, and
                        the version to give as --base.
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
  job status ID         Show the state of a job.
  job cancel ID         Cancel a job; its running tasks are stopped.

State.

  status                List the nodes with their shards and the version in
                        force at each.
  dump ADDR             Show the state of the process at ADDR (its operators'
                        address, ip:port), without request bodies.
  explain ID [FILE...]  Show the history of the workflow ID, or of one task
                        (ID.OCCURRENCE.STEP.INDEX), from the log lines of all
                        VMs in FILE... or on standard input: events in order
                        (~ marks related ones), then findings. Calls no daemon.

Options.

  --server ADDR[,ADDR]  Operators' addresses of entries or schedulers, tried
                        in turn (default: $EGRETLB_SERVER). Any will do.
  --timeout TIME        Timeout to connect, and of each read and write of a call
                        (default 5s).
  --wait TIME           How long a change is retried without an answer (default
                        30s).
  --json                Print JSON, for scripts.
  -q, --quiet           Print only results and errors.
  -v, --verbose         Log each call to standard error; twice logs more.
  -h, --help            Short and long help.
  --version             Print the version.

Exit codes.

  0  done
  1  another error, such as a file that can't be read
  2  the command line is invalid; no call was made
  3  the file has faults; nothing was changed
  4  another configuration was accepted first; nothing was changed
  5  there is no such job, or no line names the workflow
  6  no answer in time; a change may have been made, and repeating the
     command is safe
  7  refused; nothing was changed
";

/// Text of `--version`.
pub(crate) const VERSION: &str = concat!("egretlb ", env!("CARGO_PKG_VERSION"), "\n");
