package org.boragegap.app;

import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.core.config.Configurator;
import org.boragegap.core.ClockReading;
import org.boragegap.entry.EntryService;
import org.boragegap.entry.Setting;
import org.boragegap.entry.Settings;
import org.boragegap.entry.cell.CellNode;

/** Runs the process of an entry VM until it has drained. */
final class ServeCommand implements Command {
    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * Read as early as possible: an earlier process at this address may have endorsed a controller,
     * so for one lease from this time no cell starts tasks. Reading it through {@link
     * CellNode#clock} would load the HTTP library first.
     */
    private final ClockReading mStartTime =
            new ClockReading(System.nanoTime() / NANOS_PER_MS, System.currentTimeMillis());

    private LogSetup mLog;

    /** Creates the logger on first use, which is after the log was configured. */
    private static final class LoggerHolder {
        private static final Logger LOGGER = LogManager.getLogger(ServeCommand.class);
    }

    @Override
    public String name() {
        return "serve";
    }

    @Override
    public String usage() {
        return "-c FILE: runs an entry process";
    }

    @Override
    public Options options() {
        return new Options()
                .addOption(
                        Option.builder("c")
                                .longOpt("config")
                                .hasArg()
                                .argName("FILE")
                                .required()
                                .desc("settings")
                                .build());
    }

    @Override
    public void configureLogging() {
        mLog = LogSetup.forEntryProcess();
    }

    @Override
    public ExitCode run(CommandLine line) throws Exception {
        Settings settings = CheckConfigCommand.load(line.getOptionValue("c"));
        if (settings == null) {
            return ExitCode.USAGE;
        }
        long incarnation = System.currentTimeMillis();
        mLog.setProcessFields(
                Map.of(
                        "vm", settings.text(Setting.PEER_ADDRESS),
                        "failure_domain", settings.text(Setting.FAILURE_DOMAIN),
                        "incarnation", Long.toString(incarnation)));
        Configurator.setRootLevel(Level.toLevel(settings.text(Setting.LOG_LEVEL)));
        try {
            if (!settings.text(Setting.STORE_ADDRESS).isEmpty()) {
                return serveCell(line.getOptionValue("c"), settings, incarnation);
            }
            return serve(settings, incarnation);
        } finally {
            // Reached when the start fails; a process that has started is halted by its drain.
            LogManager.shutdown();
        }
    }

    private static ExitCode serve(Settings settings, long incarnation) throws Exception {
        EntryService service = EntryService.create(settings, incarnation);
        service.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(service), "drain"));
        service.awaitDrained();
        stopAndHalt(service);
        return ExitCode.OK;
    }

    private ExitCode serveCell(String file, Settings settings, long incarnation) throws Exception {
        settings.replacedValues().forEach(line -> LoggerHolder.LOGGER.warn("settings: {}", line));
        HangupSignal.handle(() -> reloadLogLevel(file));
        CellNode node = CellNode.create(settings, incarnation, mStartTime);
        node.start();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(node), "drain"));
        new CountDownLatch(1).await();
        return ExitCode.OK;
    }

    /** Applies the log level of the changed file; other settings are read at the next start. */
    private static void reloadLogLevel(String file) {
        Settings.ReadResult result = Settings.read(Path.of(file));
        if (result instanceof Settings.ReadResult.Invalid invalid) {
            LoggerHolder.LOGGER.error(
                    "reload: invalid settings file, settings unchanged: {}", invalid.problems());
            return;
        }
        String level = ((Settings.ReadResult.Valid) result).settings().text(Setting.LOG_LEVEL);
        Configurator.setRootLevel(Level.toLevel(level));
        LoggerHolder.LOGGER.info(
                "reload: log level {}; other changes take effect at the next start", level);
    }

    private static void drainAndHalt(CellNode node) {
        try {
            node.drain();
            node.awaitDrained();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        node.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }

    /** Runs on SIGTERM and finishes everything in flight before the process ends. */
    private static void drainAndHalt(EntryService service) {
        try {
            service.drain();
            service.awaitDrained();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException e) {
            // Without a halt the process would end with the signal's exit code.
            LoggerHolder.LOGGER.error("the drain failed", e);
        }
        stopAndHalt(service);
    }

    private static synchronized void stopAndHalt(EntryService service) {
        service.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }
}
