package org.boragegap.app;

import java.util.Map;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.apache.logging.log4j.core.appender.ConsoleAppender;
import org.apache.logging.log4j.core.config.AbstractConfiguration;
import org.apache.logging.log4j.core.config.AppenderRef;
import org.apache.logging.log4j.core.config.ConfigurationSource;
import org.apache.logging.log4j.core.config.Configurator;
import org.apache.logging.log4j.core.config.LoggerConfig;

/**
 * Where log lines go: to the console, behind a bounded buffer that never blocks and drops lines
 * when it is full. Set up here and not by a file: reading one, with the plugins that it may name,
 * makes a start slower.
 */
final class LogSetup extends AbstractConfiguration {
    /** Lines that may wait to be written. */
    private static final int MAX_BUFFERED_LINES = 4_096;

    /** How long lines that wait are written when the process ends, in ms. */
    private static final long SHUTDOWN_TIMEOUT_MS = 500;

    private static final String CONSOLE = "console";
    private static final String BOUNDED = "bounded";
    private static final String HTTP_LIBRARY = "org.glassfish.grizzly";

    private final ConsoleAppender.Target mTarget;
    private final JsonLines mLayout = new JsonLines();

    private LogSetup(ConsoleAppender.Target target) {
        super(null, ConfigurationSource.NULL_SOURCE);
        mTarget = target;
    }

    /** Log lines of a command go to standard error; its results go to standard output. */
    static void forCommand() {
        Configurator.initialize(new LogSetup(ConsoleAppender.Target.SYSTEM_ERR));
    }

    /** Log lines of an entry process go to standard output. */
    static LogSetup forEntryProcess() {
        LogSetup setup = new LogSetup(ConsoleAppender.Target.SYSTEM_OUT);
        Configurator.initialize(setup);
        return setup;
    }

    /** Sets the fields that stand in each line from now on. */
    void setProcessFields(Map<String, String> process) {
        mLayout.setProcessFields(process);
    }

    /** Names no plugin, so none is looked for. */
    @Override
    public void initialize() {
        ConsoleAppender console =
                ConsoleAppender.newBuilder()
                        .setName(CONSOLE)
                        .setTarget(mTarget)
                        .setLayout(mLayout)
                        // Lines that wait together are written by one call.
                        .setImmediateFlush(false)
                        .build();
        console.start();
        addAppender(console);
        AppenderRef toConsole = AppenderRef.createAppenderRef(CONSOLE, null, null);
        AsyncAppender bounded =
                AsyncAppender.newBuilder()
                        .setName(BOUNDED)
                        .setConfiguration(this)
                        .setAppenderRefs(new AppenderRef[] {toConsole})
                        .setBufferSize(MAX_BUFFERED_LINES)
                        .setBlocking(false)
                        .setShutdownTimeout(SHUTDOWN_TIMEOUT_MS)
                        .build();
        bounded.start();
        addAppender(bounded);
        LoggerConfig root = getRootLogger();
        root.setLevel(Level.INFO);
        root.addAppender(bounded, null, null);
        addLogger(HTTP_LIBRARY, new LoggerConfig(HTTP_LIBRARY, Level.WARN, true));
        setState(State.INITIALIZED);
    }
}
