package org.boragegap.core.cell;

/** What histories need to know of orders to targets. */
final class Orders {
    private Orders() {}

    /** The target that an order is for. */
    static TargetInfo target(CellAction order) {
        if (order instanceof CellAction.ExtendLease extend) {
            return extend.target();
        }
        if (order instanceof CellAction.StartRun start) {
            return start.target();
        }
        return ((CellAction.StopRun) order).target();
    }

    /** How long the target may hold its answer back, in ms. */
    static long waitMs(CellAction order) {
        return order instanceof CellAction.ExtendLease extend ? extend.waitMs() : 0;
    }

    /** What a controller learns when no answer comes. */
    static CellEvent unanswered(CellAction order) {
        return failed(order, OrderResult.UNKNOWN);
    }

    /** What a controller learns of an order that was not carried out, or may not have been. */
    static CellEvent failed(CellAction order, OrderResult result) {
        String id = target(order).id();
        if (order instanceof CellAction.ExtendLease extend) {
            return new CellEvent.LeaseFailed(id, extend.call(), result);
        }
        if (order instanceof CellAction.StartRun start) {
            return new CellEvent.StartAnswered(
                    id, start.task(), start.run(), start.fence(), result);
        }
        CellAction.StopRun stop = (CellAction.StopRun) order;
        return new CellEvent.StopAnswered(id, stop.task(), stop.run(), false);
    }
}
