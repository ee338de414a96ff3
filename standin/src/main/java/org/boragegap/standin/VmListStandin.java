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

/** Stands in for the platform's list of VMs; a change shows after a lag. */
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

    private VmListStandin(String host, List<Integer> ports, long lagMs, VmList first) {
        mLagMs = lagMs;
        mVisibleList = first;
        mDown = new boolean[ports.size()];
        for (int i = 0; i < ports.size(); i++) {
            int listener = i;
            mEndpoints.add(
                    HttpEndpoint.create(
                            "vms-" + i,
                            host,
                            ports.get(i),
                            MAX_BODY_BYTES,
                            in -> handle(listener, in)));
        }
    }

    /** Makes a list that listens on the given ports. */
    public static VmListStandin create(String host, List<Integer> ports, long lagMs, VmList first) {
        return new VmListStandin(host, ports, lagMs, first);
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

    private void handle(int listener, IncomingRequest in) {
        if (in.path().equals("/control")) {
            boolean down = in.query("down").map(Boolean::parseBoolean).orElse(false);
            int chosen = Integer.parseInt(in.query("listener").orElse("-1"));
            for (int i = 0; i < mDown.length; i++) {
                if (chosen < 0 || chosen == i) {
                    mDown[i] = down;
                }
            }
            in.reply(OK, "{}");
        } else if (in.method().equals("POST")) {
            replaceList(in);
        } else if (mDown[listener]) {
            in.drop();
        } else {
            serveList(in);
        }
    }

    private void serveList(IncomingRequest in) {
        String json = PlatformJson.write(mVisibleList);
        String tag = '"' + Integer.toHexString(json.hashCode()) + '"';
        boolean known = in.header("If-None-Match").filter(tag::equals).isPresent();
        Map<String, String> headers = Map.of("ETag", tag);
        in.reply(known ? NOT_MODIFIED : OK, "application/json", headers, known ? "" : json);
    }

    private void replaceList(IncomingRequest in) {
        try {
            VmList list = PlatformJson.read(in.text(), VmList.class);
            mScheduler.schedule(() -> mVisibleList = list, mLagMs, TimeUnit.MILLISECONDS);
            in.reply(OK, "{}");
        } catch (PlatformException e) {
            in.reply(BAD_REQUEST, "{\"error\":\"not a list of VMs\"}");
        }
    }
}
