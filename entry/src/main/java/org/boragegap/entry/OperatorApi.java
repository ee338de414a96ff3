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

/** HTTP for operators and the balancer, on a listener of its own. */
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
    private final BundleDesk mBundles;
    private final Runnable mDrain;
    private final ObjectMapper mMapper =
            new ObjectMapper()
                    .registerModule(new Jdk8Module())
                    .enable(SerializationFeature.INDENT_OUTPUT);

    OperatorApi(String key, ControlLoop loop, Metrics metrics, BundleDesk bundles, Runnable drain) {
        mKey = key;
        mLoop = loop;
        mMetrics = metrics;
        mBundles = bundles;
        mDrain = drain;
    }

    void handle(IncomingRequest in) {
        String route = in.method() + " " + in.path();
        if (route.equals("GET /healthz")) {
            in.reply(OK, "{\"healthy\":true}");
        } else if (route.equals("GET /readyz")) {
            ready(in);
        } else if (!allowed(in)) {
            String detail = "send the operators' key as a bearer token";
            CallerApi.problem(in, Problem.plain(UNAUTHORIZED, "Key needed", detail));
        } else {
            operate(in, route);
        }
    }

    private boolean allowed(IncomingRequest in) {
        if (mKey.isEmpty()) {
            return true;
        }
        byte[] expected = ("Bearer " + mKey).getBytes(StandardCharsets.UTF_8);
        byte[] given = in.header("Authorization").orElse("").getBytes(StandardCharsets.UTF_8);
        return MessageDigest.isEqual(expected, given);
    }

    private void operate(IncomingRequest in, String route) {
        switch (route) {
            case "GET /metrics" -> in.reply(OK, "text/plain", Map.of(), mMetrics.scrape());
            case "GET /dump" -> dump(in);
            case "POST /drain" -> {
                mDrain.run();
                in.reply(ACCEPTED, "{\"state\":\"draining\"}");
            }
            case "POST /loglevel" -> logLevel(in);
            case "POST /v1/bundles" -> mBundles.publish(in);
            case "GET /v1/bundles" -> mBundles.status(in);
            default -> CallerApi.problem(in, Problem.plain(NOT_FOUND, "Not found", "no such path"));
        }
    }

    private void ready(IncomingRequest in) {
        mLoop.ask(dispatcher -> dispatcher.ready(ControlLoop.clock()))
                .thenAccept(
                        ready -> in.reply(ready ? OK : UNAVAILABLE, "{\"ready\":" + ready + "}"));
    }

    private void dump(IncomingRequest in) {
        mLoop.ask(dispatcher -> dispatcher.state(ControlLoop.clock()))
                .thenAccept(state -> in.reply(OK, json(state)));
    }

    private String json(DispatcherState state) {
        try {
            return mMapper.writeValueAsString(state);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("state of our own can't be written", e);
        }
    }

    private static void logLevel(IncomingRequest in) {
        Optional<Level> level = in.query("level").map(name -> Level.toLevel(name, null));
        if (level.isEmpty()) {
            String detail = "level: expected ERROR, WARN, INFO or DEBUG";
            CallerApi.problem(in, Problem.plain(BAD_REQUEST, "Bad request", detail));
            return;
        }
        Configurator.setRootLevel(level.get());
        in.reply(OK, "{\"level\":\"" + level.get() + "\"}");
    }
}
