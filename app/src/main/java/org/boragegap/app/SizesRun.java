package org.boragegap.app;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.boragegap.core.ClockReading;
import org.boragegap.core.bundle.Bundle;
import org.boragegap.core.claim.Claim;
import org.boragegap.core.claim.ClaimKey;
import org.boragegap.core.claim.ClaimLimits;
import org.boragegap.core.claim.ClaimMessage;
import org.boragegap.core.claim.DomainView;
import org.boragegap.core.claim.Member;
import org.boragegap.core.dispatch.CallerRef;
import org.boragegap.core.dispatch.DispatchSettings;
import org.boragegap.core.dispatch.Dispatcher;
import org.boragegap.core.dispatch.Event;
import org.boragegap.core.job.Resources;
import org.boragegap.core.job.Submission;
import org.boragegap.core.job.SubmissionId;
import org.boragegap.core.job.TaskSpec;
import org.boragegap.core.membership.ListedVm;
import org.boragegap.core.membership.VmKind;
import org.boragegap.core.placement.LoanMessage;
import org.boragegap.platform.PlatformJson;
import org.boragegap.platform.VmList;
import org.boragegap.wire.PeerCodec;
import org.boragegap.wire.PeerMessage;
import org.boragegap.wire.WireException;

/** Measures sizes of messages and of state in memory, the inputs of docs/CAPACITY.md. */
final class SizesRun {
    private static final Member SELF = new Member("10.20.30.40:7001", 1_800_000_000_000L);
    private static final Member OTHER = new Member("10.20.30.41:7001", 1_800_000_000_001L);
    private static final Resources TASK_RESOURCES = new Resources(1_000, 512, 0);
    private static final int CLAIMS = 100_000;
    private static final int CLAIMS_PER_PART = 2_000;
    private static final int JOBS = 600;
    private static final int TASKS = 30;
    private static final int TEAMS = 180;
    private static final int VMS = 1_442;
    private static final double NS_PER_MS = 1e6;

    private final PeerCodec mCodec = PeerCodec.create();

    Map<String, Double> run() throws WireException {
        Map<String, Double> sizes = new LinkedHashMap<>();
        measureMessages(sizes);
        measureTransfer(sizes);
        sizes.put("heapBytesPerClaim", heapBytesPerClaim());
        sizes.put("heapBytesPerJobOf" + TASKS, heapBytesPerJob());
        sizes.put("vmListBytes" + VMS, (double) PlatformJson.write(vmList()).length());
        return sizes;
    }

    private double frameBytes(PeerMessage message) throws WireException {
        return mCodec.encode(message).length + Integer.BYTES;
    }

    private double claimFrameBytes(ClaimMessage message) throws WireException {
        return frameBytes(new PeerMessage.Claims(SELF, message));
    }

    private void measureMessages(Map<String, Double> sizes) throws WireException {
        Claim claim = claim(1);
        DomainView view =
                new DomainView(
                        1_800_000_000_000L,
                        1L << 62,
                        1L << 61,
                        List.of(SELF, OTHER, OTHER),
                        List.of(),
                        1);
        sizes.put("claimRequestBytes", claimFrameBytes(new ClaimMessage.Request(1L << 62, claim)));
        sizes.put(
                "claimGrantedBytes",
                claimFrameBytes(new ClaimMessage.Granted(1L << 62, claim.key(), 1 << 20)));
        sizes.put(
                "heartbeatBytes",
                claimFrameBytes(new ClaimMessage.ViewIs(view, true, 1_000, 1 << 30, 1 << 30)));
        LoanMessage.Line line =
                new LoanMessage.Line(1 << 20, "10.20.30.42:80", TASK_RESOURCES, 16, 3_000);
        sizes.put(
                "loanAskBytes",
                frameBytes(
                        new PeerMessage.Loans(
                                SELF.address(), new LoanMessage.Ask("", TASK_RESOURCES, 99))));
        sizes.put(
                "loanGivenBytesTenTargets",
                frameBytes(
                        new PeerMessage.Loans(
                                SELF.address(),
                                new LoanMessage.Given(
                                        "", java.util.Collections.nCopies(10, line)))));
        sizes.put("bundleVersionBytes", frameBytes(new PeerMessage.BundleVersion(1 << 20)));
        sizes.put("bundleBytes" + TEAMS + "Teams", frameBytes(new PeerMessage.BundleIs(bundle())));
    }

    private static Claim claim(long number) {
        long createdMs = 1_800_000_000_000L + number;
        ClaimKey key = ClaimKey.of("01a23802-8786-7626-9936-" + number, createdMs);
        return new Claim(key, SELF, number, createdMs, key.low());
    }

    private static Bundle bundle() {
        StringBuilder teams = new StringBuilder();
        for (int i = 0; i < TEAMS; i++) {
            teams.append(i == 0 ? "" : ",");
            teams.append("\"team-").append(i).append("\":{\"maxRunning\":500,\"weight\":1.0}");
        }
        String body = "{\"teams\":{" + teams + "},\"kinds\":{}}";
        Bundle.Signature signature = new Bundle.Signature("reviewer", "x".repeat(88));
        return new Bundle(100, "0".repeat(36), "1".repeat(36), body, List.of(signature, signature));
    }

    /** Time to transfer all claims to a new member: encoding and decoding, without the network. */
    private void measureTransfer(Map<String, Double> sizes) throws WireException {
        List<Claim> part = new ArrayList<>();
        for (int i = 0; i < CLAIMS_PER_PART; i++) {
            part.add(claim(i));
        }
        PeerMessage message =
                new PeerMessage.Claims(SELF, new ClaimMessage.Claims(1, 1, 0, 1, part));
        for (int i = 0; i < CLAIMS / CLAIMS_PER_PART; i++) {
            mCodec.decode(mCodec.encode(message));
        }
        long startedNs = System.nanoTime();
        for (int i = 0; i < CLAIMS / CLAIMS_PER_PART; i++) {
            mCodec.decode(mCodec.encode(message));
        }
        sizes.put("transferMsPer100000Claims", (System.nanoTime() - startedNs) / NS_PER_MS);
        sizes.put("transferBytesPerClaim", frameBytes(message) / CLAIMS_PER_PART);
    }

    private static double usedHeapBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    private static Dispatcher dispatcher() {
        List<String> domains = List.of("fd");
        Dispatcher dispatcher =
                Dispatcher.create(
                        SELF,
                        DispatchSettings.defaults("fd", domains),
                        ClaimLimits.defaults(),
                        new SplittableRandom(1));
        deliver(dispatcher, new Event.VmsListed(vmList().vms()));
        return dispatcher;
    }

    private static void deliver(Dispatcher dispatcher, Event event) {
        dispatcher.onEvent(event, new ClockReading(1, 1), new ArrayList<>());
    }

    private static double heapBytesPerClaim() {
        double before = usedHeapBytes();
        Dispatcher dispatcher = dispatcher();
        DomainView firstView =
                new DomainView(1, 1, 0, List.of(SELF), List.of(), DomainView.COVERS_ALL);
        deliver(
                dispatcher,
                new Event.ClaimMessageReceived(
                        OTHER, new ClaimMessage.ViewIs(firstView, true, 0, 1, 1)));
        DomainView secondView =
                new DomainView(2, 2, 1, List.of(SELF, OTHER), List.of(), DomainView.COVERS_ALL);
        deliver(
                dispatcher,
                new Event.ClaimMessageReceived(
                        OTHER, new ClaimMessage.ViewIs(secondView, true, 0, 1, 1)));
        for (int i = 0; i < CLAIMS; i++) {
            deliver(
                    dispatcher,
                    new Event.ClaimMessageReceived(
                            OTHER, new ClaimMessage.Request(2, claimOfOther(i))));
        }
        double perClaim = (usedHeapBytes() - before) / CLAIMS;
        int kept = dispatcher.state(new ClockReading(1, 1)).claimsKept();
        if (kept != CLAIMS) {
            throw new IllegalStateException("only " + kept + " claims were kept");
        }
        return perClaim;
    }

    private static Claim claimOfOther(long number) {
        Claim claim = claim(number);
        return new Claim(claim.key(), OTHER, number, claim.createdMs(), claim.fingerprint());
    }

    private static double heapBytesPerJob() {
        double before = usedHeapBytes();
        Dispatcher dispatcher = dispatcher();
        for (int i = 0; i < JOBS; i++) {
            CallerRef caller = new CallerRef.HttpCaller(i);
            deliver(dispatcher, new Event.Submitted(caller, job(i), true, 0));
        }
        double perJob = (usedHeapBytes() - before) / JOBS;
        int unansweredJobs = dispatcher.state(new ClockReading(1, 1)).unanswered();
        return unansweredJobs == 0 ? 0 : perJob;
    }

    private static Submission job(int number) {
        List<TaskSpec> tasks = new ArrayList<>();
        for (int i = 0; i < TASKS; i++) {
            tasks.add(
                    new TaskSpec(
                            i, TASK_RESOURCES, 1, "payload of about fifty characters, task " + i));
        }
        SubmissionId id =
                new SubmissionId(
                        "fd~10.20.30.40:7001~" + number,
                        1,
                        Optional.of("fd"),
                        Optional.of(SELF.address()));
        return new Submission(
                id, "team", "kind", Optional.empty(), false, 1_000_000, tasks, number);
    }

    private static VmList vmList() {
        List<ListedVm> vms = new ArrayList<>();
        for (int i = 0; i < VMS; i++) {
            String address = "10.20." + i / 250 + "." + i % 250 + ":8080";
            vms.add(new ListedVm(address, "fd", VmKind.WORKER, "", false, TASK_RESOURCES, 16));
        }
        return new VmList(vms);
    }
}
