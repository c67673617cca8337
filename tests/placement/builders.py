"""Builders of sheets and engine states for tests of placement."""

from savoryspar import placement, sheet

MODELS = (("rush", "urgent"), ("plain", "standard"), ("night", "bulk"))


def new_sheet(min_copies=(1, 1, 1), inactive=()):
    lines = ["table,name,field,value", "pool,lm,kind,engine"]
    lines.append("pool,lm,supports,orders fencing")
    for (name, rank), minimum in zip(MODELS, min_copies, strict=True):
        lines += [
            f"model,{name},pool,lm",
            f"model,{name},min_copies,{max(1, minimum)}",
            f"model,{name},active,{'no' if name in inactive else 'yes'}",
            f"work,{name},rank,{rank}",
            f"work,{name},deadline_ms,4000",
            f"pipeline,{name},work,{name}",
            f"pipeline,{name},stages,gen=lm/{name}",
        ]
    return sheet.parse_csv("\n".join(lines) + "\n", 1)


def new_engine(name, copies=(), slots=2, number=0, load_ages=()):
    """Returns an engine; copies are (model, state, age_s, demand)."""
    copies_by_name = {
        item[0]: placement.Copy(
            item[0], placement.CopyState(item[1]), item[2], item[3]
        )
        for item in copies
    }
    return placement.EngineState(
        name, "lm", slots, copies_by_name, tuple(load_ages), number, 0.0
    )


def ready(engines, name):
    return sum(
        name in engine.copies
        and engine.copies[name].state is placement.CopyState.READY
        for engine in engines
    )
