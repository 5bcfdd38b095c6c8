"""Agreement among replicas: consensus, disk, frames and links; what is agreed on is others' business."""
