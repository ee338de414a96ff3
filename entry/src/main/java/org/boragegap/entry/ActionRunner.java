package org.boragegap.entry;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.boragegap.core.bundle.BundleRecord;
import org.boragegap.core.cell.Decision;
import org.boragegap.core.claim.Member;
import org.boragegap.core.dispatch.Action;
import org.boragegap.core.dispatch.CallerRef;
import org.boragegap.core.dispatch.Event;
import org.boragegap.core.job.Submission;
import org.boragegap.http.HttpClient;
import org.boragegap.platform.LogClient;
import org.boragegap.platform.LogEntry;
import org.boragegap.platform.TargetClient;
import org.boragegap.platform.TaskOrder;
import org.boragegap.wire.PeerMessage;
import org.boragegap.wire.PeerTransport;

/**
 * Executes the actions of the dispatcher. Network traffic is handed to other threads, except where
 * the calling thread is idle.
 */
final class ActionRunner {
    /**
     * Added to the wall-clock time by which a target must start a task, as the target's clock may
     * differ from the one here. The check on the target only has to catch pauses longer than this.
     */
    private static final long CLOCK_TOLERANCE_MS = 2_000;

    private static final Logger sLog = LogManager.getLogger(ActionRunner.class);

    private final Member mSelf;
    private final TargetClient mTargets;
    private final LogClient mLog;
    private final PeerTransport mPeers;
    private final Executor mNetworkExecutor;
    private final PendingAppends mAppends = new PendingAppends();
    private CallerApi mCallerApi;
    private LogPoller mLogPoller;
    private Consumer<Event> mEventSink;
    private Consumer<Action.ReportDrained> mDrainListener;

    ActionRunner(
            Member self,
            TargetClient targets,
            LogClient log,
            PeerTransport peers,
            Executor networkExecutor) {
        mSelf = self;
        mTargets = targets;
        mLog = log;
        mPeers = peers;
        mNetworkExecutor = networkExecutor;
    }

    void connect(
            CallerApi callerApi,
            LogPoller logPoller,
            Consumer<Event> eventSink,
            Consumer<Action.ReportDrained> drainListener) {
        mCallerApi = callerApi;
        mLogPoller = logPoller;
        mEventSink = eventSink;
        mDrainListener = drainListener;
    }

    /**
     * Executes an action.
     *
     * @param action the action
     * @param idle whether the calling thread has nothing else to do, so that it starts attempts and
     *     sends replies itself instead of handing them to the network executor
     */
    void execute(Action action, boolean idle) {
        Executor executor = idle ? Runnable::run : mNetworkExecutor;
        if (action instanceof Action.Start start) {
            executor.execute(() -> startAttempt(start));
        } else if (action instanceof Action.Reply reply) {
            executor.execute(() -> sendReply(reply));
        } else if (action instanceof Action.Accept accept) {
            if (accept.caller() instanceof CallerRef.HttpCaller caller) {
                mNetworkExecutor.execute(() -> mCallerApi.onAccepted(caller.token(), accept.id()));
            }
        } else if (action instanceof Action.Stop stop) {
            mNetworkExecutor.execute(
                    () -> mTargets.stop(stop.target().address(), owner(), stop.attempt()));
        } else if (action instanceof Action.SendClaimMessage sendClaim) {
            mPeers.send(sendClaim.address(), new PeerMessage.Claims(mSelf, sendClaim.message()));
        } else if (action instanceof Action.SendLoanMessage sendLoan) {
            mPeers.send(
                    sendLoan.address(), new PeerMessage.Loans(mSelf.address(), sendLoan.message()));
        } else if (action instanceof Action.Forward forward) {
            mPeers.send(
                    forward.address(),
                    new PeerMessage.Forward(
                            forward.forwardId(), forward.submission(), forward.hops()));
        } else if (action instanceof Action.ForwardCancel cancel) {
            mPeers.send(cancel.address(), new PeerMessage.Cancel(cancel.id(), cancel.hops()));
        } else if (action instanceof Action.SendBundleVersion sendVersion) {
            mPeers.send(
                    sendVersion.address(), new PeerMessage.BundleVersion(sendVersion.version()));
        } else if (action instanceof Action.SendBundle sendBundle) {
            mPeers.reply(sendBundle.link(), new PeerMessage.BundleIs(sendBundle.bundle()));
        } else if (action instanceof Action.AppendView append) {
            appendToLog(new LogEntry.View(append.record()));
        } else if (action instanceof Action.Log log) {
            DecisionLog.write(Decision.self(log.what(), log.inputs(), log.outcome()));
        } else if (action instanceof Action.RestateBundle restate) {
            appendToLog(
                    new LogEntry.Configuration(
                            BundleRecord.Kind.STATED, restate.asOf(), restate.bundle()));
        } else if (action instanceof Action.ReportDrained drained) {
            mDrainListener.accept(drained);
        }
    }

    private void appendToLog(LogEntry entry) {
        Runnable answered = mAppends.begin();
        mLog.append(
                entry,
                acknowledged -> {
                    answered.run();
                    mLogPoller.poll();
                });
    }

    /** Waits until all appends so far are answered, at most for the given time. */
    void awaitAppends(long timeoutMs) throws InterruptedException {
        if (!mAppends.await(timeoutMs)) {
            sLog.warn("an append to the log was not answered within {} ms", timeoutMs);
        }
    }

    private String owner() {
        return mSelf.address() + "#" + mSelf.incarnation();
    }

    private void startAttempt(Action.Start start) {
        Submission submission = start.submission();
        long wallMs = System.currentTimeMillis();
        long startByWallMs = wallMs + start.startByMs() - HttpClient.nowMs() + CLOCK_TOLERANCE_MS;
        TaskOrder order =
                new TaskOrder(
                        start.attempt(),
                        owner(),
                        submission.id().text(),
                        start.task().index(),
                        submission.team(),
                        submission.kind(),
                        start.task().need(),
                        start.timeoutMs(),
                        Math.min(startByWallMs, submission.deadlineMs()),
                        start.task().payload());
        long timeoutMs = Math.max(1, Math.min(start.timeoutMs(), submission.deadlineMs() - wallMs));
        mTargets.start(
                start.target().address(),
                order,
                start.startByMs(),
                timeoutMs,
                outcome -> mEventSink.accept(new Event.AttemptEnded(start.attempt(), outcome)));
    }

    private void sendReply(Action.Reply reply) {
        if (reply.caller() instanceof CallerRef.HttpCaller caller) {
            mCallerApi.onAnswered(caller.token(), reply.id(), reply.answer());
        } else if (reply.caller() instanceof CallerRef.PeerCaller peer) {
            mPeers.reply(
                    peer.link(), new PeerMessage.ForwardAnswer(peer.forwardId(), reply.answer()));
        }
    }
}
