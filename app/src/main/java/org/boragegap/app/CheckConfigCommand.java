package org.boragegap.app;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.boragegap.entry.Setting;
import org.boragegap.entry.Settings;

/** Checks a settings file, or prints a description of all settings. */
final class CheckConfigCommand implements Command {
    @Override
    public String name() {
        return "check-config";
    }

    @Override
    public String usage() {
        return "FILE | --explain: checks a settings file, or prints all settings";
    }

    @Override
    public Options options() {
        return new Options().addOption(null, "explain", false, "prints the table of all settings");
    }

    @Override
    public ExitCode run(CommandLine line) throws UsageException {
        if (line.hasOption("explain")) {
            System.out.print(Setting.markdownTable());
            return ExitCode.OK;
        }
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected one FILE or --explain");
        }
        return load(line.getArgList().get(0)) == null ? ExitCode.USAGE : ExitCode.OK;
    }

    /**
     * Reads settings and prints the values that were replaced. If the file is invalid, prints its
     * problems and returns null.
     */
    static Settings load(String file) {
        Settings.ReadResult result = Settings.read(Path.of(file));
        if (result instanceof Settings.ReadResult.Valid valid) {
            valid.settings().replacedValues().forEach(System.err::println);
            return valid.settings();
        }
        ((Settings.ReadResult.Invalid) result).problems().forEach(System.err::println);
        return null;
    }
}
