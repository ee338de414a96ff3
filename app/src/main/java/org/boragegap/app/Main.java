package org.boragegap.app;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.HelpFormatter;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Entry point of the executable. */
public final class Main {
    private static final List<Command> COMMANDS =
            List.of(
                    new ServeCommand(),
                    new CheckConfigCommand(),
                    new SubmitCommand(),
                    new BundleCommand(),
                    new OperateCommand("drain", "asks an entry VM to drain", "POST", "/drain"),
                    new OperateCommand("dump", "prints an entry VM's state", "GET", "/dump"),
                    new QuickstartCommand(),
                    new BenchCommand(),
                    new StandinCommand(),
                    new VersionCommand());

    private Main() {}

    /** Runs a subcommand and exits with its exit code. */
    public static void main(String[] arguments) {
        // Grizzly logs through java.util.logging; this routes its lines to Log4j.
        System.setProperty("java.util.logging.manager", "org.apache.logging.log4j.jul.LogManager");
        ExitCode code = run(arguments);
        System.out.flush();
        System.exit(code.code());
    }

    static ExitCode run(String[] arguments) {
        if (arguments.length == 0 || arguments[0].equals("--help")) {
            printCommands();
            return arguments.length == 0 ? ExitCode.USAGE : ExitCode.OK;
        }
        Optional<Command> command =
                COMMANDS.stream().filter(known -> known.name().equals(arguments[0])).findFirst();
        if (command.isEmpty()) {
            System.err.println("boragegap: unknown command " + arguments[0] + "; see --help");
            return ExitCode.USAGE;
        }
        return run(command.get(), Arrays.copyOfRange(arguments, 1, arguments.length));
    }

    private static ExitCode run(Command command, String[] arguments) {
        Options options = command.options();
        options.addOption(Option.builder("h").longOpt("help").desc("prints this help").build());
        try {
            CommandLine line = new DefaultParser().parse(options, arguments);
            if (line.hasOption("help")) {
                String syntax = "boragegap " + command.name() + " " + command.usage();
                new HelpFormatter().printHelp(syntax, options);
                return ExitCode.OK;
            }
            command.configureLogging();
            return command.run(line);
        } catch (ParseException | UsageException e) {
            System.err.println("boragegap " + command.name() + ": " + e.getMessage());
            return ExitCode.USAGE;
        } catch (Exception e) {
            System.err.println("boragegap " + command.name() + ": " + e);
            return ExitCode.FAILED;
        }
    }

    private static void printCommands() {
        System.out.println("usage: boragegap COMMAND [OPTIONS]; --help on each command");
        for (Command command : COMMANDS) {
            System.out.printf("  %-13s %s%n", command.name(), command.usage());
        }
        System.out.println("exit codes: 0 ok, 1 failed, 2 usage, 3 refused not run, 4 unknown");
    }
}
