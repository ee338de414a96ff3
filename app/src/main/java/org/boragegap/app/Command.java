package org.boragegap.app;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** A subcommand of the command line. */
interface Command {

    /** Name on the command line. */
    String name();

    /** Arguments and purpose, as the help prints them. */
    String usage();

    /** Options; {@code Main} adds {@code --help} to them. */
    Options options();

    /** Configures where log lines go; called once, before {@link #run}. */
    default void configureLogging() {
        LogSetup.forCommand();
    }

    /** Runs the command. */
    ExitCode run(CommandLine line) throws Exception;
}
