#include "agent/machine.hpp"

namespace finchrun::agent {

void Machine::use_image(core::ImageId image, double image_gb, std::optional<double> cache_gb) {
  const auto held =
      std::find_if(images.begin(), images.end(), [&](const auto& item) { return item.first == image; });
  if (held != images.end()) images.erase(held);
  images.emplace_back(image, image_gb);
  if (!cache_gb) return;
  double total_gb = 0;
  for (const auto& [_, size_gb] : images) total_gb += size_gb;
  while (images.size() > 1 && total_gb > *cache_gb) {
    total_gb -= images.front().second;
    images.erase(images.begin());
  }
}

}  // namespace finchrun::agent
