package org.boragegap.app;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/** Prints the version. */
final class VersionCommand implements Command {
    static final String VERSION = "0.1.0";

    @Override
    public String name() {
        return "version";
    }

    @Override
    public String usage() {
        return "prints the version";
    }

    @Override
    public Options options() {
        return new Options();
    }

    @Override
    public ExitCode run(CommandLine line) {
        System.out.println("boragegap " + VERSION);
        return ExitCode.OK;
    }
}
