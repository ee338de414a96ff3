package org.boragegap.app;

import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.boragegap.entry.Setting;
import org.boragegap.entry.Settings;

/** Checks a settings file, or explains all settings. */
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

    /** Reads settings, or prints what is wrong and returns null; prints what was replaced. */
    static Settings load(String file) {
        Settings.ReadResult read = Settings.read(Path.of(file));
        if (read instanceof Settings.ReadResult.Valid good) {
            good.settings().replacedValues().forEach(System.err::println);
            return good.settings();
        }
        ((Settings.ReadResult.Invalid) read).problems().forEach(System.err::println);
        return null;
    }
}
