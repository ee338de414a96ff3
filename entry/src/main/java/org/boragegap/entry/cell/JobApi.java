package org.boragegap.entry.cell;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Pattern;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.cell.Configuration;
import org.boragegap.core.cell.Decision;
import org.boragegap.core.cell.EntryAction;
import org.boragegap.core.cell.EntryEvent;
import org.boragegap.entry.DecisionLog;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.JobProtocol;
import org.boragegap.platform.PlatformException;

/** HTTP API for callers on the users' platform. */
final class JobApi {
    private static final Logger sLog = LogManager.getLogger(JobApi.class);
    private static final Pattern ID = Pattern.compile("[0-9a-f]{16}");
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int NOT_FOUND = 404;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int GONE = 410;

    /** Gives access to this VM's members of the cells. */
    interface Callbacks {
        /** Cell of a job; empty while the layout of the deployment isn't known. */
        OptionalInt cellOfJob(String id);

        /** True when this VM can serve callers of some cell. */
        boolean canServeCallers();

        /** Passes an event to the pending jobs of a cell. */
        void on(int cell, EntryEvent event);
    }

    private record Caller(IncomingRequest in, int cell) {}

    private final Callbacks mCallbacks;
    private final CellMetrics mMetrics;
    private final Map<Long, Caller> mCallers = new ConcurrentHashMap<>();
    private final AtomicLong mNextTicket = new AtomicLong(1);
    private volatile Configuration mConfiguration;
    private volatile boolean mClosingConnections;

    JobApi(Callbacks desk, CellMetrics metrics) {
        mCallbacks = desk;
        mMetrics = metrics;
    }

    /** Activates a configuration, unless its version or a later one is already active. */
    synchronized void configure(Configuration configuration) {
        Configuration current = mConfiguration;
        if (current != null && configuration.version() <= current.version()) {
            return;
        }
        mConfiguration = configuration;
        DecisionLog.write(
                Decision.self(
                        "configure",
                        "version="
                                + configuration.version()
                                + " before="
                                + (current == null ? 0 : current.version()),
                        configuration.routes().size() + " routes in force"));
    }

    /**
     * From now on closes each connection after its next answer, as the process will stop. Callers
     * keep connections open; requests that they sent over these to a process that accepts no more
     * were refused, though other entry VMs could have served them.
     */
    void closeConnectionsAfterReply() {
        mClosingConnections = true;
    }

    boolean configured() {
        return mConfiguration != null;
    }

    /** True when the configuration names this service, and while no configuration is active. */
    boolean knowsService(String service) {
        Configuration configuration = mConfiguration;
        return configuration == null || configuration.services().containsKey(service);
    }

    /** Version of the active configuration; 0 for none. */
    long configVersion() {
        Configuration configuration = mConfiguration;
        return configuration == null ? 0 : configuration.version();
    }

    void handle(IncomingRequest in) {
        Configuration configuration = mConfiguration;
        if (configuration == null) {
            refuse(in, "", JobProtocol.unavailable("no configuration yet"));
            return;
        }
        String host = hostName(in.header("Host").orElse(""));
        Optional<Configuration.Route> route = configuration.route(host, in.path());
        if (route.isEmpty()) {
            mMetrics.notFound();
            in.reply(NOT_FOUND, JobProtocol.errorBody("no such queue"));
            return;
        }
        String rest = in.path().substring(route.get().prefix().length());
        switch (in.method()) {
            case "POST" -> submit(in, route.get(), configuration.version(), rest);
            case "GET" -> replyStatus(in, rest);
            case "DELETE" -> in.reply(GONE, JobProtocol.errorBody("no such job"));
            default -> in.reply(METHOD_NOT_ALLOWED, JobProtocol.errorBody("no such method"));
        }
    }

    /** Returns the host name without a port. */
    private static String hostName(String header) {
        int colon = header.lastIndexOf(':');
        return colon < 0 ? header : header.substring(0, colon);
    }

    /**
     * Answers a question about the queue or about one job. No job is found: only jobs that need not
     * be stored are accepted yet, and nobody asks for those later.
     */
    private static void replyStatus(IncomingRequest in, String rest) {
        if (rest.isEmpty()) {
            in.reply(OK, JobProtocol.waitingBody(0));
        } else {
            in.reply(GONE, JobProtocol.errorBody("no such job"));
        }
    }

    private void submit(IncomingRequest in, Configuration.Route route, long version, String id) {
        if (!ID.matcher(id).matches()) {
            in.reply(BAD_REQUEST, JobProtocol.errorBody("a job's id has 16 hexadecimal digits"));
            return;
        }
        JobProtocol.Decoded decoded;
        try {
            decoded = JobProtocol.decode(id, route, version, in.body());
        } catch (PlatformException e) {
            in.reply(BAD_REQUEST, JobProtocol.errorBody(e.getMessage()));
            return;
        }
        if (decoded instanceof JobProtocol.Decoded.Unsupported unserved) {
            refuse(in, id, JobProtocol.unavailable(unserved.reason()));
            return;
        }
        if (decoded instanceof JobProtocol.Decoded.TooLarge tooLarge) {
            refuse(in, id, JobProtocol.refused(tooLarge.reason()));
            return;
        }
        OptionalInt cell = mCallbacks.cellOfJob(id);
        if (cell.isEmpty()) {
            refuse(in, id, JobProtocol.unavailable("the layout of the cells is not known yet"));
            return;
        }
        long budgetMs =
                JobProtocol.budgetMs(in.header(JobProtocol.BUDGET_HEADER), route.timeoutMs());
        long ticket = mNextTicket.getAndIncrement();
        mCallers.put(ticket, new Caller(in, cell.getAsInt()));
        mCallbacks.on(
                cell.getAsInt(),
                new EntryEvent.Submitted(
                        ticket, ((JobProtocol.Decoded.Job) decoded).request(), budgetMs));
        in.onClosedBeforeReply(() -> callerLeft(ticket));
    }

    private void callerLeft(long ticket) {
        Caller caller = mCallers.remove(ticket);
        if (caller != null) {
            mMetrics.callerLeft();
            mCallbacks.on(caller.cell(), new EntryEvent.CallerLeft(ticket));
        }
    }

    private void refuse(IncomingRequest in, String id, JobProtocol.Reply reply) {
        DecisionLog.write(Decision.job("refuse", id, "config=" + configVersion(), reply.body()));
        mMetrics.refused();
        send(in, reply);
    }

    /** Sends the verdict on a job to its caller, if the caller still waits. */
    void reply(EntryAction.Reply reply) {
        Caller caller = mCallers.remove(reply.ticket());
        if (caller == null) {
            return;
        }
        mMetrics.answered(reply.verdict(), reply.waitedMs());
        JobProtocol.Reply answer = JobProtocol.reply(reply.verdict());
        DecisionLog.write(
                Decision.job(
                        "answer",
                        reply.job(),
                        "waited_ms=" + reply.waitedMs() + " reason=" + reply.verdict().reason(),
                        answer.status() + " " + reply.verdict().getClass().getSimpleName()));
        send(caller.in(), answer);
    }

    /**
     * Sends an answer, and closes the connection after it when other VMs can serve the caller
     * better: this VM stops, or has contact with neither the store nor a controller. The platform
     * sends new connections to other failure domains by then, but open ones stay. Without this,
     * every caller in a failure domain that was disconnected from the others was refused over its
     * open connection until the domain was connected again.
     */
    private void send(IncomingRequest in, JobProtocol.Reply reply) {
        if (mClosingConnections || !mCallbacks.canServeCallers()) {
            in.closeAfterReply();
        }
        Map<String, String> headers =
                reply.retryAfterS()
                        .map(seconds -> Map.of(JobProtocol.RETRY_AFTER_HEADER, seconds.toString()))
                        .orElse(Map.of());
        in.reply(reply.status(), "application/json", headers, reply.body());
    }
}
