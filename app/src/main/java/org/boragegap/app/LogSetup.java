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
 * Log configuration: lines go to the console through a bounded buffer, which drops lines when it is
 * full instead of blocking the logging thread. It is built in code, since reading a file and
 * loading the plugins that it may name would slow down the start.
 */
final class LogSetup extends AbstractConfiguration {
    /** Capacity of the buffer, in lines. */
    private static final int MAX_BUFFERED_LINES = 4_096;

    /** How long buffered lines are written at the end of the process, in ms. */
    private static final long SHUTDOWN_TIMEOUT_MS = 500;

    private static final String SHUTDOWN_HOOK_PROPERTY = "log4j.shutdownHookEnabled";
    private static final String CONSOLE = "console";
    private static final String BOUNDED = "bounded";
    private static final String HTTP_LIBRARY = "org.glassfish.grizzly";

    private final ConsoleAppender.Target mTarget;
    private final JsonLines mLayout = new JsonLines();

    private LogSetup(ConsoleAppender.Target target) {
        super(null, ConfigurationSource.NULL_SOURCE);
        mTarget = target;
    }

    /** Sends log lines to standard error, since a command prints results to standard output. */
    static void forCommand() {
        Configurator.initialize(new LogSetup(ConsoleAppender.Target.SYSTEM_ERR));
    }

    /**
     * Sends the log lines of an entry process to standard output. The caller has to shut logging
     * down: the library's own shutdown hook is disabled, because shutdown hooks run in parallel and
     * the lines of the drain would be lost.
     */
    static LogSetup forEntryProcess() {
        // The flag of a configuration has no effect here: the hook is added before it is read.
        System.setProperty(SHUTDOWN_HOOK_PROPERTY, "false");
        LogSetup setup = new LogSetup(ConsoleAppender.Target.SYSTEM_OUT);
        Configurator.initialize(setup);
        return setup;
    }

    /** Sets the process fields that are written in each line from now on. */
    void setProcessFields(Map<String, String> process) {
        mLayout.setProcessFields(process);
    }

    /** Builds the appenders directly, so that no plugins are looked up. */
    @Override
    public void initialize() {
        ConsoleAppender consoleAppender =
                ConsoleAppender.newBuilder()
                        .setName(CONSOLE)
                        .setTarget(mTarget)
                        .setLayout(mLayout)
                        // Buffered lines are written together in one call.
                        .setImmediateFlush(false)
                        .build();
        consoleAppender.start();
        addAppender(consoleAppender);
        AppenderRef consoleRef = AppenderRef.createAppenderRef(CONSOLE, null, null);
        AsyncAppender asyncAppender =
                AsyncAppender.newBuilder()
                        .setName(BOUNDED)
                        .setConfiguration(this)
                        .setAppenderRefs(new AppenderRef[] {consoleRef})
                        .setBufferSize(MAX_BUFFERED_LINES)
                        .setBlocking(false)
                        .setShutdownTimeout(SHUTDOWN_TIMEOUT_MS)
                        .build();
        asyncAppender.start();
        addAppender(asyncAppender);
        LoggerConfig root = getRootLogger();
        root.setLevel(Level.INFO);
        root.addAppender(asyncAppender, null, null);
        addLogger(HTTP_LIBRARY, new LoggerConfig(HTTP_LIBRARY, Level.WARN, true));
        setState(State.INITIALIZED);
    }
}
