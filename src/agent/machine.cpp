#include "agent/machine.hpp"

namespace finchrun::agent {

void Machine::use_image(core::ImageId image, double image_gb, std::optional<double> cache_gb) {
  const auto cached = std::find_if(cached_images.begin(), cached_images.end(),
                                   [&](const auto& item) { return item.first == image; });
  if (cached != cached_images.end()) cached_images.erase(cached);
  cached_images.emplace_back(image, image_gb);
  if (!cache_gb) return;
  double total_gb = 0;
  for (const auto& [_, size_gb] : cached_images) total_gb += size_gb;
  while (cached_images.size() > 1 && total_gb > *cache_gb) {
    total_gb -= cached_images.front().second;
    cached_images.erase(cached_images.begin());
  }
}

}  // namespace finchrun::agent
