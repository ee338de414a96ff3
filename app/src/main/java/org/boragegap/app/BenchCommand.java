package org.boragegap.app;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;

/** Runs benchmarks on embedded deployments; docs/MEASURING.md describes them. */
final class BenchCommand implements Command {
    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String usage() {
        return "path|load|sizes [OPTIONS]: measures on embedded stand-ins, prints one JSON object";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(optionWithValue("seed", "N", "load: seed of the arrivals; default 1"))
                .addOption(optionWithValue("load", "PERCENT", "load: of the capacity; default 80"))
                .addOption(optionWithValue("seconds", "N", "load: length of a run; default 20"))
                .addOption(
                        optionWithValue(
                                "faults", "true|false", "load: one VM and two targets fail"))
                .addOption(
                        optionWithValue(
                                "policy", "NAME", "load: usual, baseline or both; default both"));
    }

    private static Option optionWithValue(String name, String argument, String description) {
        return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).build();
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        Configurator.setRootLevel(Level.ERROR);
        String benchmark = line.getArgList().size() == 1 ? line.getArgList().get(0) : "";
        Object result =
                switch (benchmark) {
                    case "path" -> new PathRun().run();
                    case "sizes" -> new SizesRun().run();
                    case "load" -> LoadComparison.run(loadOptions(line));
                    default -> throw new UsageException("expected path, load or sizes");
                };
        System.out.println(new ObjectMapper().writeValueAsString(result));
        return ExitCode.OK;
    }

    private static LoadComparison.Options loadOptions(CommandLine line) throws UsageException {
        try {
            return new LoadComparison.Options(
                    Long.parseLong(line.getOptionValue("seed", "1")),
                    Integer.parseInt(line.getOptionValue("load", "80")),
                    Integer.parseInt(line.getOptionValue("seconds", "20")),
                    Boolean.parseBoolean(line.getOptionValue("faults", "false")),
                    line.getOptionValue("policy", "both"));
        } catch (NumberFormatException e) {
            throw new UsageException("--seed, --load and --seconds: expected whole numbers");
        }
    }
}
