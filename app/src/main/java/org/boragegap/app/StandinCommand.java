package org.boragegap.app;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.boragegap.core.job.Resources;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.VmList;
import org.boragegap.standin.LogStandin;
import org.boragegap.standin.Standin;
import org.boragegap.standin.TargetStandin;
import org.boragegap.standin.VmListStandin;

/** Runs stand-ins for external services, for tests and trials. */
final class StandinCommand implements Command {
    private static final String HOST = "127.0.0.1";

    @Override
    public String name() {
        return "standin";
    }

    @Override
    public String usage() {
        return "log|vms|worker|minion --ports P,P,...: stand-ins on loopback, for trials";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Option.builder()
                                .longOpt("ports")
                                .hasArg()
                                .argName("P,P,...")
                                .required()
                                .desc("ports: listeners of one log or list, or a target each")
                                .build())
                .addOption(optionWithValue("retention-ms", "log: how long a record is kept"))
                .addOption(optionWithValue("lag-ms", "vms: lag of the list"))
                .addOption(optionWithValue("list", "vms: file with the first list"))
                .addOption(optionWithValue("cpu-millis", "worker: thousandths of a core"))
                .addOption(optionWithValue("memory-mb", "worker: memory in MiB"))
                .addOption(optionWithValue("accelerators", "worker: accelerators"))
                .addOption(optionWithValue("slots", "tasks at once"));
    }

    private static Option optionWithValue(String name, String description) {
        return Option.builder().longOpt(name).hasArg().argName("VALUE").desc(description).build();
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        if (line.getArgList().size() != 1) {
            throw new UsageException("expected one of log, vms, worker, minion");
        }
        List<Integer> ports =
                Arrays.stream(line.getOptionValue("ports").split(","))
                        .map(Integer::parseInt)
                        .toList();
        for (Standin standin : createStandins(line, ports)) {
            standin.start();
        }
        System.out.println("ready");
        System.out.flush();
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    private static List<Standin> createStandins(CommandLine line, List<Integer> ports)
            throws Exception {
        return switch (line.getArgList().get(0)) {
            case "log" ->
                    List.of(
                            LogStandin.create(
                                    HOST, ports, numberOption(line, "retention-ms", 3_600_000)));
            case "vms" ->
                    List.of(
                            VmListStandin.create(
                                    HOST,
                                    ports,
                                    numberOption(line, "lag-ms", 1_000),
                                    readVmList(line)));
            case "worker" -> createTargets(line, ports, true);
            case "minion" -> createTargets(line, ports, false);
            default -> throw new UsageException("expected one of log, vms, worker, minion");
        };
    }

    private static VmList readVmList(CommandLine line) throws Exception {
        if (!line.hasOption("list")) {
            return new VmList(List.of());
        }
        String text = Files.readString(Path.of(line.getOptionValue("list")));
        return PlatformJson.read(text, VmList.class);
    }

    private static List<Standin> createTargets(
            CommandLine line, List<Integer> ports, boolean workers) throws UsageException {
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
        Resources capacity =
                new Resources(
                        (int) numberOption(line, "cpu-millis", 16_000),
                        (int) numberOption(line, "memory-mb", 32_768),
                        (int) numberOption(line, "accelerators", 0));
        int slots = (int) numberOption(line, "slots", workers ? 64 : 8);
        List<Standin> targets = new ArrayList<>();
        for (int port : ports) {
            targets.add(
                    workers
                            ? TargetStandin.worker(HOST, port, capacity, slots, timer)
                            : TargetStandin.minion(HOST, port, slots, timer));
        }
        return targets;
    }

    private static long numberOption(CommandLine line, String option, long defaultValue)
            throws UsageException {
        try {
            return Long.parseLong(line.getOptionValue(option, Long.toString(defaultValue)));
        } catch (NumberFormatException e) {
            throw new UsageException("--" + option + ": expected a whole number");
        }
    }
}
