package org.boragegap.wire;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.boragegap.core.ClockReading;
import org.boragegap.core.cell.JobRequest;
import org.boragegap.core.cell.StepRequest;
import org.boragegap.core.cell.TargetInfo;
import org.boragegap.core.cell.TaskName;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes the records that cell messages consist of: their components, in the order in which the
 * record declares them. A list is written as its length followed by its elements, and an empty
 * optional string as nil.
 */
final class RecordFields {
    private RecordFields() {}

    static void packTask(MessagePacker packer, TaskName task) throws IOException {
        packer.packString(task.job()).packInt(task.occurrence());
        packer.packInt(task.step()).packInt(task.index());
    }

    static TaskName unpackTask(MessageUnpacker unpacker) throws IOException {
        return new TaskName(
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt());
    }

    static void packClock(MessagePacker packer, ClockReading clock) throws IOException {
        packer.packLong(clock.monotonicMs()).packLong(clock.wallMs());
    }

    static ClockReading unpackClock(MessageUnpacker unpacker) throws IOException {
        return new ClockReading(unpacker.unpackLong(), unpacker.unpackLong());
    }

    static void packJob(MessagePacker packer, JobRequest job) throws IOException {
        packer.packString(job.id()).packString(job.queue()).packString(job.service());
        packer.packInt(job.urgency()).packInt(job.maxAttempts());
        packer.packDouble(job.stretch()).packLong(job.objectiveBaseMs()).packString(job.spec());
        packer.packInt(job.steps().size());
        for (StepRequest step : job.steps()) {
            packStep(packer, step);
        }
        packer.packLong(job.configVersion());
    }

    static JobRequest unpackJob(MessageUnpacker unpacker) throws IOException {
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
        for (int dependency : step.dependsOn()) {
            packer.packInt(dependency);
        }
        packOptional(packer, step.requiredLabel());
        packOptional(packer, step.preferredRack());
        packer.packInt(step.maxPerTarget());
    }

    private static StepRequest unpackStep(MessageUnpacker unpacker) throws IOException {
        return new StepRequest(
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackLong(),
                unpackIntegers(unpacker),
                unpackOptional(unpacker),
                unpackOptional(unpacker),
                unpacker.unpackInt());
    }

    private static List<Integer> unpackIntegers(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        List<Integer> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(unpacker.unpackInt());
        }
        return numbers;
    }

    static void packLongs(MessagePacker packer, List<Long> numbers) throws IOException {
        packer.packInt(numbers.size());
        for (long number : numbers) {
            packer.packLong(number);
        }
    }

    static List<Long> unpackLongs(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        List<Long> numbers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            numbers.add(unpacker.unpackLong());
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

    static void packTarget(MessagePacker packer, TargetInfo target) throws IOException {
        packer.packString(target.id()).packString(target.address()).packString(target.service());
        packer.packString(target.failureDomain()).packInt(target.cpuMillis());
        packer.packInt(target.memoryMb()).packInt(target.accelerators());
        packer.packInt(target.labels().size());
        for (String label : target.labels()) {
            packer.packString(label);
        }
        packer.packBoolean(target.enforcesCapacity()).packBoolean(target.draining());
        packer.packLong(target.incarnation());
    }

    static TargetInfo unpackTarget(MessageUnpacker unpacker) throws IOException {
        return new TargetInfo(
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackString(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpacker.unpackInt(),
                unpackStrings(unpacker),
                unpacker.unpackBoolean(),
                unpacker.unpackBoolean(),
                unpacker.unpackLong());
    }

    private static Set<String> unpackStrings(MessageUnpacker unpacker) throws IOException {
        int count = unpacker.unpackInt();
        Set<String> texts = new HashSet<>();
        for (int i = 0; i < count; i++) {
            texts.add(unpacker.unpackString());
        }
        return texts;
    }
}
