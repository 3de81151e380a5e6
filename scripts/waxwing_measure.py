"""Results of experiments: measurements/NAME.json and a plot by gnuplot."""

import json
import os
import statistics
import subprocess
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
FOLDER = os.path.join(ROOT, "measurements")


def quantile(values, probability):
    """Smallest value that is at least as large as the given share of the values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(probability * len(ordered)))]


def median(values):
    return statistics.median(values)


def measured(value, unit, goal, baseline=None):
    return {"value": value, "unit": unit, "goal": goal, "baseline": baseline}


def commit():
    result = subprocess.run(["git", "-C", ROOT, "rev-parse", "--short", "HEAD"], capture_output=True, text=True, check=True)
    return result.stdout.strip()


COMMIT = commit()  # At the start: the tree may move on during a long run.


def write(name, seeds, values, plot):
    """Writes the values of a complete run and its plot.

    plot: {"title", "y", "series": {label: [(x, y), ...]}, "x"}; x is the seed unless stated otherwise.
    """
    os.makedirs(FOLDER, exist_ok=True)
    result = {"name": name, "command": " ".join(["scripts/experiment"] + sys.argv[1:]), "seeds": list(seeds),
              "date": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()), "commit": COMMIT, "values": values}
    with open(os.path.join(FOLDER, name + ".json"), "w", encoding="ascii") as file:
        json.dump(result, file, indent=2)
        file.write("\n")
    _draw(name, plot)
    for measure, entry in values.items():
        baseline = "" if entry["baseline"] is None else f", baseline {entry['baseline']:.4g}"
        print(f"{measure}: {entry['value']:.4g} {entry['unit']} (goal {entry['goal']}{baseline})", flush=True)


def _draw(name, plot):
    script = [f"set title '{plot['title']}'", "set terminal svg size 800,420", f"set output '{name}.svg'", "set key outside bottom center horizontal",
              f"set xlabel '{plot.get('x', 'seed')}'", f"set ylabel '{plot['y']}'", "set yrange [0:*]", "set grid"]
    for index, (_, points) in enumerate(plot["series"].items()):
        script.append(f"$data{index} << END")
        script += [f"{x} {y}" for x, y in points]
        script.append("END")
    style = plot.get("style", "linespoints")
    lines = [f"$data{index} using 1:2 with {style} title '{label}'" for index, label in enumerate(plot["series"])]
    script.append("plot " + ", ".join(lines))
    path = os.path.join(FOLDER, name + ".gnuplot")
    with open(path, "w", encoding="utf-8") as file:
        file.write("\n".join(script) + "\n")
    subprocess.run(["gnuplot", name + ".gnuplot"], cwd=FOLDER, check=True)
