package org.boragegap.entry;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import org.apache.logging.log4j.Level;
import org.apache.logging.log4j.core.config.Configurator;
import org.boragegap.core.dispatch.DispatcherState;
import org.boragegap.http.IncomingRequest;

/** HTTP API for operators and for health checks of the load balancer, on a listener of its own. */
final class OperatorApi {
    private static final int OK = 200;
    private static final int ACCEPTED = 202;
    private static final int BAD_REQUEST = 400;
    private static final int UNAUTHORIZED = 401;
    private static final int NOT_FOUND = 404;
    private static final int UNAVAILABLE = 503;

    private final String mKey;
    private final ControlLoop mLoop;
    private final Metrics mMetrics;
    private final BundleApi mBundleApi;
    private final Runnable mDrain;
    private final ObjectMapper mMapper =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .enable(SerializationFeature.INDENT_OUTPUT);

    OperatorApi(String key, ControlLoop loop, Metrics metrics, BundleApi bundles, Runnable drain) {
        mKey = key;
        mLoop = loop;
        mMetrics = metrics;
        mBundleApi = bundles;
        mDrain = drain;
    }

    void handle(IncomingRequest in) {
        String route = in.method() + " " + in.path();
        if (route.equals("GET /healthz")) {
            in.reply(OK, "{\"healthy\":true}");
        } else if (route.equals("GET /readyz")) {
            handleReadiness(in);
        } else if (!isAuthorized(in)) {
            String detail = "send the operators' key as a bearer token";
            CallerApi.replyProblem(in, Problem.ofStatus(UNAUTHORIZED, "Key needed", detail));
        } else {
            handleAuthorized(in, route);
        }
    }

    private boolean isAuthorized(IncomingRequest in) {
        if (mKey.isEmpty()) {
            return true;
        }
        byte[] expected = ("Bearer " + mKey).getBytes(StandardCharsets.UTF_8);
        byte[] given = in.header("Authorization").orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, given);
    }

    private void handleAuthorized(IncomingRequest in, String route) {
        switch (route) {
            case "GET /metrics" -> in.reply(OK, "text/plain", Map.of(), mMetrics.scrape());
            case "GET /dump" -> handleDump(in);
            case "POST /drain" -> {
                mDrain.run();
                in.reply(ACCEPTED, "{\"state\":\"draining\"}");
            }
            case "POST /loglevel" -> handleLogLevel(in);
            case "POST /v1/bundles" -> mBundleApi.publish(in);
            case "GET /v1/bundles" -> mBundleApi.status(in);
            default ->
                    CallerApi.replyProblem(
                            in, Problem.ofStatus(NOT_FOUND, "Not found", "no such path"));
        }
    }

    private void handleReadiness(IncomingRequest in) {
        mLoop.query(dispatcher -> dispatcher.ready(ControlLoop.readClock()))
                .thenAccept(
                        ready -> in.reply(ready ? OK : UNAVAILABLE, "{\"ready\":" + ready + "}"));
    }

    private void handleDump(IncomingRequest in) {
        mLoop.query(dispatcher -> dispatcher.state(ControlLoop.readClock()))
                .thenAccept(state -> in.reply(OK, toJson(state)));
    }

    private String toJson(DispatcherState state) {
        try {
            return mMapper.writeValueAsString(state);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("dispatcher state can't be written as JSON", e);
        }
    }

    private static void handleLogLevel(IncomingRequest in) {
        Optional<Level> level = in.query("level").map(name -> Level.toLevel(name, null));
        if (level.isEmpty()) {
            String detail = "level: expected ERROR, WARN, INFO or DEBUG";
            CallerApi.replyProblem(in, Problem.ofStatus(BAD_REQUEST, "Bad request", detail));
            return;
        }
        Configurator.setRootLevel(level.get());
        in.reply(OK, "{\"level\":\"" + level.get() + "\"}");
    }
}
