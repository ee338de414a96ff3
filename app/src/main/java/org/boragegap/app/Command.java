package org.boragegap.app;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** One subcommand. */
interface Command {

    /** Its name on the command line. */
    String name();

    /** Arguments and purpose, for the help. */
    String usage();

    /** Its options; {@code --help} comes by itself. */
    Options options();

    /** Sets up where its log lines go to; called once, before it runs. */
    default void configureLogging() {
        LogSetup.forCommand();
    }

    /** Runs it. */
    ExitCode run(CommandLine line) throws Exception;
}
