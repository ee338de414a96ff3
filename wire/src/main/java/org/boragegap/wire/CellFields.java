package org.boragegap.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.CrashEvidence;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.core.cell.TaskName;
import org.boragegap.core.records.EarlierTerm;
import org.boragegap.core.records.RecordFrame;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The encoding of each {@link CellMessage}, with one constant for each type: the number of the
 * type, then the components in the order in which the record declares them. The number is the
 * ordinal of the constant, so the order of the constants is part of the wire format.
 */
enum CellFields {
    OFFER(CellMessage.Offer.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Offer offer = (CellMessage.Offer) message;
            packer.packLong(offer.fence());
            RecordFields.packJob(packer, offer.request());
            packer.packLong(offer.ageMs()).packLong(offer.budgetMs());
            packer.packInt(offer.controllers()).packLong(offer.number());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Offer(
                    unpacker.unpackLong(),
                    RecordFields.unpackJob(unpacker),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackInt(),
                    unpacker.unpackLong());
        }
    },
    WITHDRAW(CellMessage.Withdraw.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            packer.packString(((CellMessage.Withdraw) message).job());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Withdraw(unpacker.unpackString());
        }
    },
    DECIDED(CellMessage.Decided.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Decided decided = (CellMessage.Decided) message;
            packer.packString(decided.job()).packLong(decided.number());
            VerdictFields.pack(packer, decided.verdict());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Decided(
                    unpacker.unpackString(), unpacker.unpackLong(), VerdictFields.unpack(unpacker));
        }
    },
    HEARTBEAT(CellMessage.Heartbeat.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Heartbeat heartbeat = (CellMessage.Heartbeat) message;
            packer.packLong(heartbeat.fence());
            RecordFields.packClock(packer, heartbeat.sent());
            packer.packLong(heartbeat.periodMs()).packInt(heartbeat.idleTargets());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Heartbeat(
                    unpacker.unpackLong(),
                    RecordFields.unpackClock(unpacker),
                    unpacker.unpackLong(),
                    unpacker.unpackInt());
        }
    },
    LEAVING(CellMessage.Leaving.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            packer.packLong(((CellMessage.Leaving) message).fence());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Leaving(unpacker.unpackLong());
        }
    },
    CONTROLLER_MISSING(CellMessage.ControllerMissing.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.ControllerMissing notice = (CellMessage.ControllerMissing) message;
            packer.packLong(notice.fence()).packInt(notice.strength());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.ControllerMissing(unpacker.unpackLong(), unpacker.unpackInt());
        }
    },
    TARGETS(CellMessage.Targets.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Targets list = (CellMessage.Targets) message;
            packer.packLong(list.fence()).packLong(list.version());
            packer.packInt(list.targets().size());
            for (TargetInfo target : list.targets()) {
                RecordFields.packTarget(packer, target);
            }
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            long fence = unpacker.unpackLong();
            long version = unpacker.unpackLong();
            int count = unpacker.unpackInt();
            List<TargetInfo> targets = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                targets.add(RecordFields.unpackTarget(unpacker));
            }
            return new CellMessage.Targets(fence, version, targets);
        }
    },
    CRASHED(CellMessage.Crashed.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Crashed crashed = (CellMessage.Crashed) message;
            RecordFields.packTask(packer, crashed.task());
            packer.packString(crashed.target());
            packer.packInt(crashed.evidence().ordinal());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            TaskName task = RecordFields.unpackTask(unpacker);
            String target = unpacker.unpackString();
            return new CellMessage.Crashed(task, target, evidence(unpacker.unpackInt()));
        }

        private static CrashEvidence evidence(int number) throws IOException {
            CrashEvidence[] all = CrashEvidence.values();
            if (number < 0 || number >= all.length) {
                throw new IOException("unknown crash evidence: " + number);
            }
            return all[number];
        }
    },
    HEARTBEAT_REPLY(CellMessage.HeartbeatReply.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.HeartbeatReply reply = (CellMessage.HeartbeatReply) message;
            packer.packLong(reply.fence());
            RecordFields.packClock(packer, reply.heartbeat());
            packer.packBoolean(reply.storeSilent()).packBoolean(reply.sawNoOutage());
            packer.packLong(reply.lastOwnFence()).packLong(reply.endedAgoMs());
            packer.packLong(reply.targetsVersion()).packBoolean(reply.borrowed());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.HeartbeatReply(
                    unpacker.unpackLong(),
                    RecordFields.unpackClock(unpacker),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackBoolean());
        }
    },
    LOAN_REQUEST(CellMessage.LoanRequest.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.LoanRequest request = (CellMessage.LoanRequest) message;
            packer.packInt(request.cell()).packLong(request.fence());
            packer.packLong(request.lenderFence()).packLong(request.number());
            packer.packString(request.service());
            packer.packInt(request.neededCpu()).packInt(request.largestTaskCpu());
            RecordFields.packLongs(packer, request.renewals());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.LoanRequest(
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackString(),
                    unpacker.unpackInt(),
                    unpacker.unpackInt(),
                    RecordFields.unpackLongs(unpacker));
        }
    },
    LOAN_GRANT(CellMessage.LoanGrant.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.LoanGrant grant = (CellMessage.LoanGrant) message;
            packer.packInt(grant.cell()).packLong(grant.fence());
            packer.packLong(grant.borrowerFence()).packLong(grant.number());
            packer.packLong(grant.termMs());
            packer.packInt(grant.targets().size());
            for (CellMessage.LentTarget lent : grant.targets()) {
                packer.packLong(lent.loan());
                RecordFields.packTarget(packer, lent.target());
                packer.packLong(lent.leaseLeftMs());
            }
            RecordFields.packLongs(packer, grant.renewed());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.LoanGrant(
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpackTargets(unpacker),
                    RecordFields.unpackLongs(unpacker));
        }

        private static List<CellMessage.LentTarget> unpackTargets(MessageUnpacker unpacker)
                throws IOException {
            int count = unpacker.unpackInt();
            List<CellMessage.LentTarget> targets = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                long loan = unpacker.unpackLong();
                TargetInfo target = RecordFields.unpackTarget(unpacker);
                targets.add(new CellMessage.LentTarget(loan, target, unpacker.unpackLong()));
            }
            return targets;
        }
    },
    LOAN_RETURN(CellMessage.LoanReturn.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.LoanReturn returned = (CellMessage.LoanReturn) message;
            packer.packInt(returned.cell()).packLong(returned.fence());
            packer.packLong(returned.lenderFence());
            RecordFields.packLongs(packer, returned.loans());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.LoanReturn(
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    RecordFields.unpackLongs(unpacker));
        }
    },
    LOAN_RECALL(CellMessage.LoanRecall.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.LoanRecall recall = (CellMessage.LoanRecall) message;
            packer.packInt(recall.cell()).packLong(recall.fence());
            RecordFields.packLongs(packer, recall.loans());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.LoanRecall(
                    unpacker.unpackInt(),
                    unpacker.unpackLong(),
                    RecordFields.unpackLongs(unpacker));
        }
    },
    START_RECORDS(CellMessage.StartRecords.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.StartRecords records = (CellMessage.StartRecords) message;
            RecordFrame frame = records.frame();
            packer.packLong(records.fence());
            packer.packLong(frame.process()).packLong(frame.coveredMs());
            EarlierTerm term = frame.lastTerm();
            packer.packLong(term.fence()).packLong(term.heldAgoMs());
            packer.packLong(term.reliableAgoMs());
            packer.packInt(frame.number()).packInt(frame.count());
            packer.packInt(frame.jobs().size());
            for (String job : frame.jobs()) {
                packer.packString(job);
            }
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            long fence = unpacker.unpackLong();
            long process = unpacker.unpackLong();
            long coveredMs = unpacker.unpackLong();
            EarlierTerm term =
                    new EarlierTerm(
                            unpacker.unpackLong(), unpacker.unpackLong(), unpacker.unpackLong());
            int number = unpacker.unpackInt();
            int count = unpacker.unpackInt();
            if (number < 0 || number >= count || count > MAX_RECORD_FRAMES) {
                throw new IOException("frame " + number + " of " + count + " start records");
            }
            int jobCount = unpacker.unpackInt();
            List<String> jobs = new ArrayList<>();
            for (int i = 0; i < jobCount; i++) {
                jobs.add(unpacker.unpackString());
            }
            RecordFrame frame = new RecordFrame(process, coveredMs, term, number, count, jobs);
            return new CellMessage.StartRecords(fence, frame);
        }
    },
    START_RECORDS_RECEIVED(CellMessage.StartRecordsReceived.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.StartRecordsReceived receipt = (CellMessage.StartRecordsReceived) message;
            packer.packLong(receipt.fence()).packInt(receipt.frame());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.StartRecordsReceived(
                    unpacker.unpackLong(), unpacker.unpackInt());
        }
    };

    /** Largest accepted number of frames of one sender; the largest records need 160. */
    private static final int MAX_RECORD_FRAMES = 1_000;

    private static final CellFields[] ALL = values();

    private final Class<? extends CellMessage> mType;

    CellFields(Class<? extends CellMessage> type) {
        mType = type;
    }

    /** Returns true if this constant encodes messages of the given type. */
    boolean isFor(Class<?> type) {
        return mType == type;
    }

    /** Returns the constant that encodes a message. */
    static CellFields of(CellMessage message) {
        for (CellFields fields : ALL) {
            if (fields.isFor(message.getClass())) {
                return fields;
            }
        }
        throw new IllegalArgumentException("unknown cell message: " + message.getClass());
    }

    /** Returns the constant for the number that stands for a message type in a frame. */
    static CellFields of(int number) throws WireException {
        if (number < 0 || number >= ALL.length) {
            throw new WireException("unknown cell message type: " + number, null);
        }
        return ALL[number];
    }

    /** Writes the number of the message type and the fields. */
    final void pack(MessagePacker packer, CellMessage message) throws IOException {
        packer.packInt(ordinal());
        packFields(packer, message);
    }

    abstract void packFields(MessagePacker packer, CellMessage message) throws IOException;

    /** Reads the fields that follow the number of the message type. */
    abstract CellMessage unpack(MessageUnpacker unpacker) throws IOException;
}
