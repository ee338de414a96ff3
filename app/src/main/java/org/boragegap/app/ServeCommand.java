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

/** Runs an entry VM's process until it has drained. */
final class ServeCommand implements Command {
    private static final long NANOS_PER_MS = 1_000_000;

    /**
     * Read as early as can be: what an earlier process here has said for a controller counts for a
     * lease from then on, and no cell starts tasks before. The clock that the process reads later
     * would load the HTTP library first.
     */
    private final ClockReading mStartTime =
            new ClockReading(System.nanoTime() / NANOS_PER_MS, System.currentTimeMillis());

    private LogSetup mLog;

    /** Made when first used: by then the log has to be set up. */
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
        if (!settings.text(Setting.STORE_ADDRESS).isEmpty()) {
            return serveCell(line.getOptionValue("c"), settings, incarnation);
        }
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

    /** Takes the log level from the changed file; all else is read at the next start. */
    private static void reloadLogLevel(String file) {
        Settings.ReadResult read = Settings.read(Path.of(file));
        if (read instanceof Settings.ReadResult.Invalid bad) {
            LoggerHolder.LOGGER.error("reload: settings stay as they were: {}", bad.problems());
            return;
        }
        String level = ((Settings.ReadResult.Valid) read).settings().text(Setting.LOG_LEVEL);
        Configurator.setRootLevel(Level.toLevel(level));
        LoggerHolder.LOGGER.info(
                "reload: log level {}; other changes count from the next start", level);
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

    /** On SIGTERM: everything in flight is finished before the process ends. */
    private static void drainAndHalt(EntryService service) {
        try {
            service.drain();
            service.awaitDrained();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        stopAndHalt(service);
    }

    private static synchronized void stopAndHalt(EntryService service) {
        service.stop();
        LogManager.shutdown();
        Runtime.getRuntime().halt(ExitCode.OK.code());
    }
}
