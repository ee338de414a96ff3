package org.boragegap.app;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import org.boragegap.core.job.Resources;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.boragegap.entry.EntryException;
import org.boragegap.entry.EntryService;
import org.boragegap.entry.Settings;
import org.boragegap.platform.VmList;
import org.boragegap.standin.LogStandin;
import org.boragegap.standin.LoopbackPorts;
import org.boragegap.standin.Standin;
import org.boragegap.standin.TargetStandin;
import org.boragegap.standin.VmListStandin;

/** Two entry VMs of one failure domain with stand-ins for all else, in this process. */
final class EmbeddedDeployment {
    private static final String HOST = "127.0.0.1";
    private static final String DOMAIN = "local";
    private static final String SERVICE = "catalogue";
    private static final int WORKER_SLOTS = 64;
    private static final long RETENTION_MS = 3_600_000;
    private static final long READY_WITHIN_MS = 20_000;
    private static final long READY_CHECK_MS = 20;
    private static final int OK = 200;

    private final List<Standin> mStandins = new ArrayList<>();
    private final List<TargetStandin> mTargets = new ArrayList<>();
    private final List<EntryService> mEntries = new ArrayList<>();
    private final List<String> mCallers = new ArrayList<>();
    private final List<String> mOperators = new ArrayList<>();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);

    private final DeploymentShape mShape;
    private String mMinion = "";

    private EmbeddedDeployment(DeploymentShape shape) throws IOException, EntryException {
        mShape = shape;
        int logPort = LoopbackPorts.next();
        int listPort = LoopbackPorts.next();
        List<ListedVm> vms = new ArrayList<>();
        for (int i = 0; i < shape.workers(); i++) {
            int port = LoopbackPorts.next();
            mTargets.add(TargetStandin.worker(HOST, port, shape.worker(), WORKER_SLOTS, mTimer));
            vms.add(target(port, VmKind.WORKER, "", shape.worker(), WORKER_SLOTS));
        }
        for (int i = 0; i < shape.minions(); i++) {
            int port = LoopbackPorts.next();
            mMinion = HOST + ":" + port;
            mTargets.add(TargetStandin.minion(HOST, port, shape.minionSlots(), mTimer));
            vms.add(target(port, VmKind.MINION, SERVICE, Resources.NONE, shape.minionSlots()));
        }
        for (int i = 0; i < shape.entries(); i++) {
            String peer = HOST + ":" + LoopbackPorts.next();
            mCallers.add(HOST + ":" + LoopbackPorts.next());
            mOperators.add(HOST + ":" + LoopbackPorts.next());
            vms.add(new ListedVm(peer, DOMAIN, VmKind.ENTRY, "", false, Resources.NONE, 0));
            mEntries.add(
                    EntryService.create(
                            settings(i, peer, logPort, listPort), System.currentTimeMillis()));
        }
        mStandins.add(LogStandin.create(HOST, List.of(logPort), RETENTION_MS));
        mStandins.add(VmListStandin.create(HOST, List.of(listPort), 0, new VmList(vms)));
        mStandins.addAll(mTargets);
    }

    static EmbeddedDeployment create(DeploymentShape shape) throws IOException, EntryException {
        return new EmbeddedDeployment(shape);
    }

    private static ListedVm target(
            int port, VmKind kind, String service, Resources capacity, int slots) {
        return new ListedVm(HOST + ":" + port, DOMAIN, kind, service, false, capacity, slots);
    }

    private Settings settings(int entry, String peer, int logPort, int listPort) {
        String text =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = " + DOMAIN,
                        "peer_address = " + peer,
                        "caller_address = " + mCallers.get(entry),
                        "operator_address = " + mOperators.get(entry),
                        "[deployment]",
                        "failure_domains = " + DOMAIN,
                        "[platform]",
                        "log = " + HOST + ":" + logPort,
                        "vm_list = " + HOST + ":" + listPort,
                        "log_poll_ms = 100",
                        mShape.settings(),
                        "");
        return ((Settings.ReadResult.Valid) Settings.parse("quickstart", text)).settings();
    }

    void start() throws IOException, InterruptedException {
        for (Standin standin : mStandins) {
            standin.start();
        }
        for (EntryService entry : mEntries) {
            entry.start();
        }
        for (String operator : mOperators) {
            awaitReady(operator);
        }
    }

    private static void awaitReady(String operator) throws IOException, InterruptedException {
        long untilMs = System.currentTimeMillis() + READY_WITHIN_MS;
        while (System.currentTimeMillis() < untilMs) {
            HttpResponse<String> response = Client.send(operator, "GET", "/readyz", "", "");
            if (response.statusCode() == OK) {
                return;
            }
            Thread.sleep(READY_CHECK_MS);
        }
        throw new IOException("entry VM at " + operator + " did not get ready");
    }

    void stop() {
        mEntries.forEach(EntryService::stop);
        mStandins.forEach(Standin::stop);
        mTimer.shutdownNow();
    }

    /** Stops one entry VM at once, as a crash would. */
    void stopEntry(int number) {
        mEntries.get(number).stop();
    }

    List<String> callerAddresses() {
        return mCallers;
    }

    List<String> operatorAddresses() {
        return mOperators;
    }

    List<TargetStandin> targets() {
        return mTargets;
    }

    /** Address of the first minion. */
    String minionAddress() {
        return mMinion;
    }

    String sampleCurl() {
        return "curl -s http://"
                + mCallers.get(0)
                + "/v1/services/"
                + SERVICE
                + "/requests -d '{\"team\":\"registrar\",\"kind\":\"seat-check\","
                + "\"payload\":\"{\\\"runMs\\\":50,\\\"result\\\":\\\"seats: 3\\\"}\"}'";
    }
}
