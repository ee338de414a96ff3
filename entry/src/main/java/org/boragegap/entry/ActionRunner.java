package org.boragegap.entry;

import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.boragegap.core.bundle.BundleRecord;
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

/** Carries out what the dispatcher decides; network traffic goes to other threads. */
final class ActionRunner {
    /** The target's clock may be apart from this one; only a longer pause is to be caught. */
    private static final long CLOCK_TOLERANCE_MS = 2_000;

    private final Member mSelf;
    private final TargetClient mTargets;
    private final LogClient mLog;
    private final PeerTransport mPeers;
    private final Executor mNetworkExecutor;
    private CallerApi mCallerApi;
    private LogPoller mLogPoller;
    private Consumer<Event> mEventSink;
    private Consumer<Action.ReportDrained> mDrainListener;

    ActionRunner(
            Member self,
            TargetClient targets,
            LogClient log,
            PeerTransport peers,
            Executor traffic) {
        mSelf = self;
        mTargets = targets;
        mLog = log;
        mPeers = peers;
        mNetworkExecutor = traffic;
    }

    void connect(
            CallerApi callers,
            LogPoller follower,
            Consumer<Event> events,
            Consumer<Action.ReportDrained> drained) {
        mCallerApi = callers;
        mLogPoller = follower;
        mEventSink = events;
        mDrainListener = drained;
    }

    /**
     * Carries out an action.
     *
     * @param idle whether the calling thread has nothing else to do, and may do the sending itself
     */
    void execute(Action action, boolean idle) {
        Executor traffic = idle ? Runnable::run : mNetworkExecutor;
        if (action instanceof Action.Start start) {
            traffic.execute(() -> startAttempt(start));
        } else if (action instanceof Action.Reply reply) {
            traffic.execute(() -> sendReply(reply));
        } else if (action instanceof Action.Accept accept) {
            if (accept.caller() instanceof CallerRef.HttpCaller caller) {
                mNetworkExecutor.execute(() -> mCallerApi.onAccepted(caller.token(), accept.id()));
            }
        } else if (action instanceof Action.Stop stop) {
            mNetworkExecutor.execute(
                    () -> mTargets.stop(stop.target().address(), owner(), stop.attempt()));
        } else if (action instanceof Action.SendClaimMessage tell) {
            mPeers.send(tell.address(), new PeerMessage.Claims(mSelf, tell.message()));
        } else if (action instanceof Action.SendLoanMessage tell) {
            mPeers.send(tell.address(), new PeerMessage.Loans(mSelf.address(), tell.message()));
        } else if (action instanceof Action.Forward forward) {
            mPeers.send(
                    forward.address(),
                    new PeerMessage.Forward(
                            forward.forwardId(), forward.submission(), forward.hops()));
        } else if (action instanceof Action.ForwardCancel cancel) {
            mPeers.send(cancel.address(), new PeerMessage.Cancel(cancel.id(), cancel.hops()));
        } else if (action instanceof Action.SendBundleVersion tell) {
            mPeers.send(tell.address(), new PeerMessage.BundleVersion(tell.version()));
        } else if (action instanceof Action.SendBundle give) {
            mPeers.reply(give.link(), new PeerMessage.BundleIs(give.bundle()));
        } else if (action instanceof Action.AppendView append) {
            appendToLog(new LogEntry.View(append.record()));
        } else if (action instanceof Action.RestateBundle restate) {
            appendToLog(
                    new LogEntry.Configuration(
                            BundleRecord.Kind.STATED, restate.asOf(), restate.bundle()));
        } else if (action instanceof Action.ReportDrained drained) {
            mDrainListener.accept(drained);
        }
    }

    private void appendToLog(LogEntry entry) {
        mLog.append(entry, acknowledged -> mLogPoller.poll());
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
