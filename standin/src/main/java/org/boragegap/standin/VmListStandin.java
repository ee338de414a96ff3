package org.boragegap.standin;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.boragegap.http.HttpEndpoint;
import org.boragegap.http.IncomingRequest;
import org.boragegap.platform.PlatformException;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.VmList;

/** Stand-in for the platform's list of VMs; changes become visible after a lag. */
public final class VmListStandin implements Standin {
    private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;
    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int BAD_REQUEST = 400;

    private final List<HttpEndpoint> mEndpoints = new ArrayList<>();
    private final boolean[] mDown;
    private final long mLagMs;
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private volatile VmList mVisibleList;

    private VmListStandin(String host, List<Integer> ports, long lagMs, VmList initialList) {
        mLagMs = lagMs;
        mVisibleList = initialList;
        mDown = new boolean[ports.size()];
        for (int i = 0; i < ports.size(); i++) {
            int listener = i;
            mEndpoints.add(
                    HttpEndpoint.create(
                            "vms-" + i,
                            host,
                            ports.get(i),
                            MAX_BODY_BYTES,
                            request -> handle(listener, request)));
        }
    }

    /** Creates a list that listens on the given ports. */
    public static VmListStandin create(
            String host, List<Integer> ports, long lagMs, VmList initialList) {
        return new VmListStandin(host, ports, lagMs, initialList);
    }

    @Override
    public void start() throws IOException {
        for (HttpEndpoint endpoint : mEndpoints) {
            endpoint.start();
        }
    }

    @Override
    public void stop() {
        mEndpoints.forEach(HttpEndpoint::stop);
        mScheduler.shutdownNow();
    }

    private void handle(int listener, IncomingRequest request) {
        if (request.path().equals("/control")) {
            boolean down = request.query("down").map(Boolean::parseBoolean).orElse(false);
            int chosenListener = Integer.parseInt(request.query("listener").orElse("-1"));
            for (int i = 0; i < mDown.length; i++) {
                if (chosenListener < 0 || chosenListener == i) {
                    mDown[i] = down;
                }
            }
            request.reply(OK, "{}");
        } else if (request.method().equals("POST")) {
            replaceList(request);
        } else if (mDown[listener]) {
            request.drop();
        } else {
            serveList(request);
        }
    }

    private void serveList(IncomingRequest request) {
        String json = PlatformJson.write(mVisibleList);
        String etag = '"' + Integer.toHexString(json.hashCode()) + '"';
        boolean unchanged = request.header("If-None-Match").filter(etag::equals).isPresent();
        Map<String, String> headers = Map.of("ETag", etag);
        request.reply(
                unchanged ? NOT_MODIFIED : OK, "application/json", headers, unchanged ? "" : json);
    }

    private void replaceList(IncomingRequest request) {
        try {
            VmList list = PlatformJson.read(request.text(), VmList.class);
            mScheduler.schedule(() -> mVisibleList = list, mLagMs, TimeUnit.MILLISECONDS);
            request.reply(OK, "{}");
        } catch (PlatformException e) {
            request.reply(BAD_REQUEST, "{\"error\":\"not a list of VMs\"}");
        }
    }
}
