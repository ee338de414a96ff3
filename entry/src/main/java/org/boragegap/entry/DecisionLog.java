package org.boragegap.entry;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.apache.logging.log4j.message.StringMapMessage;
import org.boragegap.core.cell.Decision;

/** Writes decisions as log lines with fields. */
public final class DecisionLog {
    private static final Logger sLog = LogManager.getLogger("decision");

    private DecisionLog() {}

    /** Writes one line. */
    public static void write(Decision decision) {
        if (sLog.isInfoEnabled()) {
            sLog.info(message(decision));
        }
    }

    /** Writes one line about a decision in the given cell. */
    public static void write(int cell, Decision decision) {
        if (sLog.isInfoEnabled()) {
            sLog.info(message(decision).with("cell", cell));
        }
    }

    private static StringMapMessage message(Decision decision) {
        StringMapMessage message = new StringMapMessage();
        message.put("what", decision.what());
        put(message, "job", decision.job());
        put(message, "task", decision.task());
        put(message, "target", decision.target());
        message.put("inputs", decision.inputs());
        message.put("outcome", decision.outcome());
        return message;
    }

    private static void put(StringMapMessage message, String field, String value) {
        if (!value.isEmpty()) {
            message.put(field, value);
        }
    }
}
