package org.boragegap.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.CellMessage;
import org.boragegap.core.cell.JobRequest;
import org.boragegap.core.cell.StepRequest;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.core.cell.TaskName;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * The fields of each message about a cell, in the order in which they stand in a frame: its number,
 * then its components in the order of the record.
 */
enum CellFields {
    OFFER(CellMessage.Offer.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Offer offer = (CellMessage.Offer) message;
            packer.packLong(offer.fence());
            packJob(packer, offer.request());
            packer.packLong(offer.ageMs()).packLong(offer.budgetMs());
            packer.packInt(offer.controllers()).packLong(offer.number());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Offer(
                    unpacker.unpackLong(),
                    unpackJob(unpacker),
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
    LEADING(CellMessage.Leading.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Leading leading = (CellMessage.Leading) message;
            packer.packLong(leading.fence());
            packClock(packer, leading.sent());
            packer.packLong(leading.periodMs());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Leading(
                    unpacker.unpackLong(), unpackClock(unpacker), unpacker.unpackLong());
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
    MISSING(CellMessage.Missing.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Missing missing = (CellMessage.Missing) message;
            packer.packLong(missing.fence()).packInt(missing.strength());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Missing(unpacker.unpackLong(), unpacker.unpackInt());
        }
    },
    TARGETS(CellMessage.Targets.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Targets told = (CellMessage.Targets) message;
            packer.packLong(told.fence()).packLong(told.version());
            packer.packInt(told.targets().size());
            for (TargetInfo target : told.targets()) {
                packTarget(packer, target);
            }
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            long fence = unpacker.unpackLong();
            long version = unpacker.unpackLong();
            int count = unpacker.unpackInt();
            List<TargetInfo> targets = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                targets.add(unpackTarget(unpacker));
            }
            return new CellMessage.Targets(fence, version, targets);
        }
    },
    CRASHED(CellMessage.Crashed.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Crashed crashed = (CellMessage.Crashed) message;
            TaskName task = crashed.task();
            packer.packString(task.job()).packInt(task.occurrence());
            packer.packInt(task.step()).packInt(task.index());
            packer.packInt(crashed.crashes());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            TaskName task =
                    new TaskName(
                            unpacker.unpackString(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt(),
                            unpacker.unpackInt());
            return new CellMessage.Crashed(task, unpacker.unpackInt());
        }
    },
    FOLLOWING(CellMessage.Following.class) {
        @Override
        void packFields(MessagePacker packer, CellMessage message) throws IOException {
            CellMessage.Following following = (CellMessage.Following) message;
            packer.packLong(following.fence());
            packClock(packer, following.heartbeat());
            packer.packBoolean(following.cutOff()).packBoolean(following.steady());
            packer.packLong(following.ownFence()).packLong(following.endedAgoMs());
            packer.packLong(following.targetsVersion());
        }

        @Override
        CellMessage unpack(MessageUnpacker unpacker) throws IOException {
            return new CellMessage.Following(
                    unpacker.unpackLong(),
                    unpackClock(unpacker),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong(),
                    unpacker.unpackLong());
        }
    };

    private static final CellFields[] ALL = values();

    private final Class<? extends CellMessage> mType;

    CellFields(Class<? extends CellMessage> type) {
        mType = type;
    }

    /** True when these are the fields of that type of message. */
    boolean isOf(Class<?> type) {
        return mType == type;
    }

    /** The fields of a message. */
    static CellFields of(CellMessage message) {
        for (CellFields fields : ALL) {
            if (fields.isOf(message.getClass())) {
                return fields;
            }
        }
        throw new IllegalArgumentException("no such message: " + message.getClass());
    }

    /** The fields of the message that has this number in frames. */
    static CellFields of(int number) throws WireException {
        if (number < 0 || number >= ALL.length) {
            throw new WireException("no such message about a cell: " + number, null);
        }
        return ALL[number];
    }

    /** Writes the number and the fields. */
    final void pack(MessagePacker packer, CellMessage message) throws IOException {
        packer.packInt(ordinal());
        packFields(packer, message);
    }

    abstract void packFields(MessagePacker packer, CellMessage message) throws IOException;

    /** Reads the fields; the number was read before. */
    abstract CellMessage unpack(MessageUnpacker unpacker) throws IOException;

    private static void packClock(MessagePacker packer, ClockReading clock) throws IOException {
        packer.packLong(clock.monotonicMs()).packLong(clock.wallMs());
    }

    private static ClockReading unpackClock(MessageUnpacker unpacker) throws IOException {
        return new ClockReading(unpacker.unpackLong(), unpacker.unpackLong());
    }

    private static void packJob(MessagePacker packer, JobRequest job) throws IOException {
        packer.packString(job.id()).packString(job.queue()).packString(job.service());
        packer.packInt(job.urgency()).packInt(job.maxAttempts());
        packer.packDouble(job.stretch()).packLong(job.aimMs()).packString(job.spec());
        packer.packInt(job.steps().size());
        for (StepRequest step : job.steps()) {
            packStep(packer, step);
        }
        packer.packLong(job.configVersion());
    }

    private static JobRequest unpackJob(MessageUnpacker unpacker) throws IOException {
        return new JobRequest(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackDouble(),
                unpacker.unpackLong(),
                unpacker.unpackString(),
                unpackSteps(unpacker),
                unpacker.unpackLong());
    }

    private static List<StepRequest> unpackSteps(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        List<StepRequest> steps = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            steps.add(unpackStep(unpacker));
        }
        return steps;
    }

    private static void packStep(MessagePacker packer, StepRequest step) throws IOException {
        packer.packInt(step.count()).packInt(step.cpuMillis()).packInt(step.memoryMb());
        packer.packInt(step.accelerators()).packLong(step.estimateMs());
        packer.packInt(step.dependsOn().size());
        for (int before : step.dependsOn()) {
            packer.packInt(before);
        }
        packOptional(packer, step.requiredLabel());
        packOptional(packer, step.nearRack());
        packer.packInt(step.mostPerTarget());
    }

    private static StepRequest unpackStep(MessageUnpacker unpacker) throws IOException {
        return new StepRequest(
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpackNumbers(unpacker),
                unpackOptional(unpacker),
                unpackOptional(unpacker),
                unpacker.unpackInt());
    }

    private static List<Integer> unpackNumbers(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(unpacker.unpackInt());
        }
        return numbers;
    }

    private static void packOptional(MessagePacker packer, Optional<String> text)
            throws IOException {
        if (text.isPresent()) {
            packer.packString(text.get());
        } else {
            packer.packNil();
        }
    }

    private static Optional<String> unpackOptional(MessageUnpacker unpacker) throws IOException {
        return unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(unpacker.unpackString());
    }

    private static void packTarget(MessagePacker packer, TargetInfo target) throws IOException {
        packer.packString(target.id()).packString(target.address()).packString(target.service());
        packer.packString(target.failureDomain()).packInt(target.cpuMillis());
        packer.packInt(target.memoryMb()).packInt(target.accelerators());
        packer.packInt(target.labels().size());
        for (String label : target.labels()) {
            packer.packString(label);
        }
        packer.packBoolean(target.guarded()).packBoolean(target.draining());
    }

    private static TargetInfo unpackTarget(MessageUnpacker unpacker) throws IOException {
        return new TargetInfo(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpackTexts(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean());
    }

    private static Set<String> unpackTexts(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        Set<String> texts = new HashSet<>();
        for (int i = 0; i < count; i++) {
            texts.add(unpacker.unpackString());
        }
        return texts;
    }
}
