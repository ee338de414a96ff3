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

/** Entry VMs of one failure domain, in one process with stand-ins for everything else. */
final class EmbeddedDeployment {
    private static final String HOST = "127.0.0.1";
    private static final String DOMAIN = "local";
    private static final String SERVICE = "catalogue";
    private static final int WORKER_SLOTS = 64;
    private static final long RETENTION_MS = 3_600_000;
    private static final long READY_TIMEOUT_MS = 20_000;
    private static final long READY_CHECK_INTERVAL_MS = 20;
    private static final int OK = 200;

    private final List<Standin> mStandins = new ArrayList<>();
    private final List<TargetStandin> mTargets = new ArrayList<>();
    private final List<EntryService> mEntryServices = new ArrayList<>();
    private final List<String> mCallerAddresses = new ArrayList<>();
    private final List<String> mOperatorAddresses = new ArrayList<>();
    private final ScheduledExecutorService mTimer = Executors.newScheduledThreadPool(2);

    private final DeploymentSpec mSpec;
    private String mMinionAddress = "";

    private EmbeddedDeployment(DeploymentSpec spec) throws IOException, EntryException {
        mSpec = spec;
        int logPort = LoopbackPorts.next();
        int listPort = LoopbackPorts.next();
        List<ListedVm> vms = new ArrayList<>();
        for (int i = 0; i < spec.workers(); i++) {
            int port = LoopbackPorts.next();
            mTargets.add(
                    TargetStandin.worker(HOST, port, spec.workerCapacity(), WORKER_SLOTS, mTimer));
            vms.add(listedTarget(port, VmKind.WORKER, "", spec.workerCapacity(), WORKER_SLOTS));
        }
        for (int i = 0; i < spec.minions(); i++) {
            int port = LoopbackPorts.next();
            mMinionAddress = HOST + ":" + port;
            mTargets.add(TargetStandin.minion(HOST, port, spec.minionSlots(), mTimer));
            vms.add(listedTarget(port, VmKind.MINION, SERVICE, Resources.NONE, spec.minionSlots()));
        }
        for (int i = 0; i < spec.entryVms(); i++) {
            String peerAddress = HOST + ":" + LoopbackPorts.next();
            mCallerAddresses.add(HOST + ":" + LoopbackPorts.next());
            mOperatorAddresses.add(HOST + ":" + LoopbackPorts.next());
            vms.add(new ListedVm(peerAddress, DOMAIN, VmKind.ENTRY, "", false, Resources.NONE, 0));
            mEntryServices.add(
                    EntryService.create(
                            settings(i, peerAddress, logPort, listPort),
                            System.currentTimeMillis()));
        }
        mStandins.add(LogStandin.create(HOST, List.of(logPort), RETENTION_MS));
        mStandins.add(VmListStandin.create(HOST, List.of(listPort), 0, new VmList(vms)));
        mStandins.addAll(mTargets);
    }

    static EmbeddedDeployment create(DeploymentSpec spec) throws IOException, EntryException {
        return new EmbeddedDeployment(spec);
    }

    private static ListedVm listedTarget(
            int port, VmKind kind, String service, Resources capacity, int slots) {
        return new ListedVm(HOST + ":" + port, DOMAIN, kind, service, false, capacity, slots);
    }

    private Settings settings(int entry, String peerAddress, int logPort, int listPort) {
        String text =
                String.join(
                        "\n",
                        "[vm]",
                        "failure_domain = " + DOMAIN,
                        "peer_address = " + peerAddress,
                        "caller_address = " + mCallerAddresses.get(entry),
                        "operator_address = " + mOperatorAddresses.get(entry),
                        "[deployment]",
                        "failure_domains = " + DOMAIN,
                        "[platform]",
                        "log = " + HOST + ":" + logPort,
                        "vm_list = " + HOST + ":" + listPort,
                        "log_poll_ms = 100",
                        mSpec.extraSettings(),
                        "");
        return ((Settings.ReadResult.Valid) Settings.parse("quickstart", text)).settings();
    }

    void start() throws IOException, InterruptedException {
        for (Standin standin : mStandins) {
            standin.start();
        }
        for (EntryService entry : mEntryServices) {
            entry.start();
        }
        for (String operatorAddress : mOperatorAddresses) {
            awaitReady(operatorAddress);
        }
    }

    private static void awaitReady(String operatorAddress)
            throws IOException, InterruptedException {
        long untilMs = System.currentTimeMillis() + READY_TIMEOUT_MS;
        while (System.currentTimeMillis() < untilMs) {
            HttpResponse<String> response =
                    CliHttpClient.send(operatorAddress, "GET", "/readyz", "", "");
            if (response.statusCode() == OK) {
                return;
            }
            Thread.sleep(READY_CHECK_INTERVAL_MS);
        }
        throw new IOException("entry VM at " + operatorAddress + " did not get ready");
    }

    void stop() {
        mEntryServices.forEach(EntryService::stop);
        mStandins.forEach(Standin::stop);
        mTimer.shutdownNow();
    }

    /** Stops one entry VM without draining it, to simulate a crash. */
    void stopEntry(int number) {
        mEntryServices.get(number).stop();
    }

    List<String> callerAddresses() {
        return mCallerAddresses;
    }

    List<String> operatorAddresses() {
        return mOperatorAddresses;
    }

    List<TargetStandin> targets() {
        return mTargets;
    }

    /** Address of the last minion. */
    String minionAddress() {
        return mMinionAddress;
    }

    String sampleCurl() {
        return "curl -s http://"
                + mCallerAddresses.get(0)
                + "/v1/services/"
                + SERVICE
                + "/requests -d '{\"team\":\"registrar\",\"kind\":\"seat-check\","
                + "\"payload\":\"{\\\"runMs\\\":50,\\\"result\\\":\\\"seats: 3\\\"}\"}'";
    }
}
